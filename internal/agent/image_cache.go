package agent

// The image cache: an estimate of the container images on a machine's disk.

import "time"

// ImageCache is the leader's estimate of the container images on a machine's disk. Agents do not report
// their images, but keep the most recently used ones. The zero value is an empty cache. Only the event
// loop that owns the machine uses it.
type ImageCache struct {
	sizeGB   map[string]float64
	lastUsed map[string]time.Time
	fetched  map[string]bool // images with which a task has run on the machine
}

// Use records that a task with the image is, or soon will be, on the machine. It evicts the least
// recently used images until the rest fit into capacityGB. It never evicts the given image itself, nor
// images last used at the same time.
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

// usage returns the total size of all images and the least recently used image. The argument newest must
// be the most recently used image. It is returned as oldest if no image was last used before it.
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

// Fetched records that the machine has fetched the image completely, as a task with it has run. It
// has no effect on an image that is not in the cache.
func (c *ImageCache) Fetched(image string) {
	if !c.Has(image) || c.fetched[image] {
		return
	}
	if c.fetched == nil {
		c.fetched = map[string]bool{}
	}
	c.fetched[image] = true
}

// Has reports whether the cache contains the image, completely fetched or not.
func (c *ImageCache) Has(image string) bool {
	_, ok := c.sizeGB[image]
	return ok
}

// Ready reports whether the image is completely fetched, so that a task with it starts without a fetch.
func (c *ImageCache) Ready(image string) bool { return c.fetched[image] }
