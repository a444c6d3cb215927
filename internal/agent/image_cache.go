package agent

// The image cache: which container images a machine is thought to have on its disk.

import "time"

// ImageCache is what a machine's image cache is thought to hold: agents do not report it, but keep the
// images used most recently. The zero value is an empty cache. The event loop that owns the machine
// alone uses it.
type ImageCache struct {
	sizeGB   map[string]float64
	lastUsed map[string]time.Time
	fetched  map[string]bool // a task that needs the image has run here
}

// Use records that a task with the image is, or soon will be, on the machine, and evicts the images
// used least recently until the rest fit into capacityGB. The image itself stays in any case.
func (c *ImageCache) Use(image string, sizeGB, capacityGB float64, now time.Time) {
	if c.sizeGB == nil {
		c.sizeGB, c.lastUsed = map[string]float64{}, map[string]time.Time{}
	}
	c.sizeGB[image] = sizeGB
	c.lastUsed[image] = now
	for {
		totalGB, oldest := c.usage(image)
		if totalGB <= capacityGB || oldest == image {
			return
		}
		c.evict(oldest)
	}
}

// usage returns the size of all images and the one used least recently; newest is the one used
// last.
func (c *ImageCache) usage(newest string) (totalGB float64, oldest string) {
	oldest = newest
	for image, sizeGB := range c.sizeGB {
		totalGB += sizeGB
		if c.lastUsed[image].Before(c.lastUsed[oldest]) {
			oldest = image
		}
	}
	return totalGB, oldest
}

func (c *ImageCache) evict(image string) {
	delete(c.sizeGB, image)
	delete(c.lastUsed, image)
	delete(c.fetched, image)
}

// Fetched records that a task with the image has come past pulling it. It has no effect on an image
// that Use has not recorded.
func (c *ImageCache) Fetched(image string) {
	if !c.Has(image) || c.fetched[image] {
		return
	}
	if c.fetched == nil {
		c.fetched = map[string]bool{}
	}
	c.fetched[image] = true
}

// Has reports whether the machine is thought to have the image, or to be fetching it.
func (c *ImageCache) Has(image string) bool {
	_, ok := c.sizeGB[image]
	return ok
}

// Ready reports whether the machine is thought to have fetched the image, so that a task with it
// starts at once.
func (c *ImageCache) Ready(image string) bool { return c.fetched[image] }
