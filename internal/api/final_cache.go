package api

// maxFinal bounds the cache of final states; any entry can be read again.
const maxFinal = 20_000

func (h *Handler) cached(id string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.final[id]
	return s, ok
}

// CacheFinal notes a durable final state, so that later polls need no read.
func (h *Handler) CacheFinal(id, state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.final) >= maxFinal {
		for k := range h.final {
			delete(h.final, k)
			break
		}
	}
	h.final[id] = state
}
