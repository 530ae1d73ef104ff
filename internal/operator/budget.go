package operator

import (
	"context"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/state/ledger"
)

// Balance is the budget of one entry according to the log, in tokens.
type Balance struct {
	Entry   record.EntryKey `json:"entry"`
	Prepaid int64           `json:"prepaid"`
	Spent   int64           `json:"spent"`
	// Shared is the sum of the routers' shares, without what they have reported as spent.
	Shared int64 `json:"shared"`
	// Free is the amount that is in no share and not spent.
	Free    int64 `json:"free"`
	Removed bool  `json:"removed"`
}

func newBalance(key record.EntryKey, a *ledger.Account) Balance {
	return Balance{
		Entry: key, Prepaid: a.Prepaid, Spent: a.Spent(), Shared: a.Outstanding(), Free: a.Free, Removed: a.Removed,
	}
}

// Adjust changes the prepaid amount of an entry by delta and returns the amount applied. A negative delta
// removes only free tokens, so fewer tokens than requested may be removed. A repeated call with the same ID
// and amount changes nothing and returns the amount applied by the first call, with the current balance. The
// same ID with another amount gives ErrIDUsed. The exception is a reduction after a first call that removed
// fewer tokens or changed nothing: it cannot be told from a repeated call, so it returns the first result. An
// increase beyond record.MaxTokens is recorded as 0 and gives ErrIDUsed too.
func (c *Client) Adjust(ctx context.Context, name, id, author string, delta int64) (applied int64, b Balance, err error) {
	key, err := c.EntryKey(ctx, name)
	if err != nil {
		return 0, Balance{}, err
	}
	item := record.Item{Adjust: &record.Adjust{Entry: key, ID: id, Delta: delta, Author: author}}
	data, err := record.Encode([]record.Item{item})
	if err != nil {
		return 0, Balance{}, err
	}
	partition := record.Partition(name, c.Partitions)
	if err := c.appendWithRetry(ctx, record.LedgerStream(partition), data); err != nil {
		return 0, Balance{}, err
	}
	l, err := c.Ledger(ctx, partition)
	if err != nil {
		return 0, Balance{}, err
	}
	return adjustResult(l.Account(key), key, id, delta)
}

// adjustResult returns the amount that the ledger recorded for the ID, and the balance. A reduction removes
// only free tokens, so a smaller one than delta is accepted as partial; any other difference gives ErrIDUsed.
func adjustResult(a *ledger.Account, key record.EntryKey, id string, delta int64) (int64, Balance, error) {
	if a == nil {
		return 0, Balance{}, errors.Newf("the ledger rejected the adjustment of %s", key)
	}
	applied, ok := a.Adjustments[id]
	if !ok {
		return 0, Balance{}, errors.Newf("the ledger rejected adjustment %q of %s", id, key)
	}
	partial := delta < 0 && applied <= 0 && applied > delta
	if applied != delta && !partial {
		return 0, Balance{}, errors.Wrapf(ErrIDUsed, "ID %q was used for %d tokens", id, applied)
	}
	return applied, newBalance(key, a), nil
}

// Balances returns the budgets of one entry, or of all entries if name is empty, sorted by name and
// generation. They include removed entries, and leave out entries whose prepaid amount was never changed.
func (c *Client) Balances(ctx context.Context, name string) ([]Balance, error) {
	var all []Balance
	for partition := range c.Partitions {
		if name != "" && partition != record.Partition(name, c.Partitions) {
			continue
		}
		l, err := c.Ledger(ctx, partition)
		if err != nil {
			return nil, err
		}
		for key, a := range l.Accounts {
			if name == "" || key.Name == name {
				all = append(all, newBalance(key, a))
			}
		}
	}
	if name != "" && len(all) == 0 {
		return nil, errors.Wrapf(ErrNoEntry, "entry %q", name)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].Entry, all[j].Entry
		return a.Name < b.Name || (a.Name == b.Name && a.Generation < b.Generation)
	})
	return all, nil
}

// Bills returns the bills of an entry that the log still retains, in log order and one for each request.
func (c *Client) Bills(ctx context.Context, name string) ([]record.Bill, error) {
	var bills []record.Bill
	seen := make(map[string]bool)
	stream := record.BillStream(record.Partition(name, c.Partitions))
	// The log trims bills that are older than its retention, so reading starts at the first retained record.
	first, err := c.Log.Read(ctx, stream, 1, 1, 0)
	if err != nil && !errors.Is(err, logstream.ErrTrimmed) {
		return nil, errors.Wrap(err, "read bills")
	}
	err = c.readAll(ctx, stream, max(1, first.First), func(r logstream.Record) {
		items, _, err := record.Decode(r.Data)
		if err != nil {
			return
		}
		for _, item := range items {
			if b := item.Bill; b != nil && b.Entry.Name == name && !seen[b.RequestID] {
				seen[b.RequestID] = true
				bills = append(bills, *b)
			}
		}
	})
	return bills, err
}
