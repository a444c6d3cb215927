// Sizes of transactions, as the store counts them. Callers that put many keys at once fill their
// transactions by these sizes.

package kvstore

const (
	// maxTransactionBytes is the store's limit on the size of a transaction, in bytes of JSON.
	maxTransactionBytes = 64 << 10

	// UsableTransactionBytes is the size up to which callers fill a transaction, in bytes of JSON. The rest
	// is left for forms of JSON that are longer than the shortest one.
	UsableTransactionBytes = maxTransactionBytes * 15 / 16

	// EmptyTransactionBytes is the size of a transaction without compares and mutations, in bytes of JSON.
	EmptyTransactionBytes = len(`{"when":[],"then":[]}`)

	// largestNumber is the largest number of a revision or a lease.
	largestNumber = `18446744073709551615`
)

// Size returns the maximum size of the compare in a transaction, in bytes of JSON.
func (c *Compare) Size() int { return len(`{"path":"","stamp":`+largestNumber+`},`) + len(c.Key) }

// Size returns the maximum size of the mutation in a transaction, in bytes of JSON. The size of its value,
// which wire.JSONSize returns, is given, and ignored for a delete.
func (m *Mutation) Size(valueBytes int) int {
	if m.Put == "" {
		return len(`{"drop":""},`) + len(m.Delete)
	}
	return len(`{"put":"","value":,"hold":`+largestNumber+`},`) + len(m.Put) + valueBytes
}
