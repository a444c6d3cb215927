// Package config reads the platform's settings file (JSON) and the operators'
// own settings (S-expressions), checks both and names every fault.
package config
