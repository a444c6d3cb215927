// Package config reads the platform's settings file (JSON) and the operators' own settings
// (S-expressions), checks both and reports every field that is wrong, not only the first.
//
// Its types are plain values. They are not changed after they have been read, and may be read from
// any goroutine.
package config
