package operator

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
)

func testCatalogue(teams ...string) catalogue.Catalogue {
	var c catalogue.Catalogue
	for _, team := range teams {
		c.Entries = append(c.Entries, catalogue.Entry{Name: "entry-" + team, Owner: "o", Team: team, Class: catalogue.ClassQueued})
	}
	return c
}

// Guards against a publish that silently reverts another operator's update, which the publisher has not seen.
func TestPublishWithOldBaseConflicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &Client{Log: standin.NewLog(), Partitions: 4}
	first, err := c.Publish(ctx, testCatalogue("a"), 0, "ann")
	is.NoErr(err)
	is.Equal(first.Version, uint64(1))
	_, err = c.Publish(ctx, testCatalogue("b"), 0, "ben")
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Newest, uint64(1))
	is.Equal(len(conflict.Changes), 2)
}

// Guards against an update that is applied twice, or reported as a conflict with itself, after the log's
// response was lost.
func TestLostPublishResponseCountsOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	c := &Client{Log: log, Partitions: 4}
	log.SetFaults(standin.LogFaults{LoseResponses: 2})
	p, err := c.Publish(ctx, testCatalogue("a"), 0, "ann")
	is.NoErr(err)
	is.Equal(p.Version, uint64(1))
	again, err := c.Publish(ctx, testCatalogue("a"), 0, "ann")
	is.NoErr(err)
	is.Equal(again.Version, uint64(1))
}

// Guards against tokens that are added twice when an operator repeats a command, or when the log's response
// is lost.
func TestTopUpCountsOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := standin.NewLog()
	c := &Client{Log: log, Partitions: 4}
	_, err := c.Publish(ctx, testCatalogue("a"), 0, "ann")
	is.NoErr(err)
	log.SetFaults(standin.LogFaults{LoseResponses: 1})
	for range 2 {
		applied, b, err := c.Adjust(ctx, "entry-a", "t1", "ann", 500)
		is.NoErr(err)
		is.Equal(applied, int64(500))
		is.Equal(b.Prepaid, int64(500))
	}
	_, _, err = c.Adjust(ctx, "entry-a", "t1", "ann", 700)
	is.True(errors.Is(err, ErrIDUsed))
	applied, b, err := c.Adjust(ctx, "entry-a", "t2", "ann", -800)
	is.NoErr(err)
	is.Equal(applied, int64(-500)) // a reduction removes only free tokens
	is.Equal(b.Free, int64(0))
}

// Guards against a prepaid change in the catalogue file that is lost, or applied again with each update.
func TestPublishAppliesPrepaidOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &Client{Log: standin.NewLog(), Partitions: 4}
	want := testCatalogue("a")
	want.Entries[0].Prepaid = []catalogue.Prepaid{{ID: "p1", Tokens: 100}}
	_, err := c.Publish(ctx, want, 0, "ann")
	is.NoErr(err)
	want.Entries[0].Prepaid = append(want.Entries[0].Prepaid, catalogue.Prepaid{ID: "p2", Tokens: 50})
	_, err = c.Publish(ctx, want, 1, "ann")
	is.NoErr(err)
	balances, err := c.Balances(ctx, "entry-a")
	is.NoErr(err)
	is.Equal(balances[0].Prepaid, int64(150))
}
