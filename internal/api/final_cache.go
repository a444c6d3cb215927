package api

// maxFinal bounds the cache of final states; any entry can be read again.
const maxFinal = 20_000

func (in *Handler) cached(id string) (string, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s, ok := in.final[id]
	return s, ok
}

// CacheFinal notes a durable final state, so that later polls need no read.
func (in *Handler) CacheFinal(id, state string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.final == nil {
		in.final = map[string]string{}
	}
	if len(in.final) >= maxFinal {
		for k := range in.final {
			delete(in.final, k)
			break
		}
	}
	in.final[id] = state
}
