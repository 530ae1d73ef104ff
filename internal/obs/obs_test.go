package obs

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEventsPageIsCurrent guards against a page that misses an event, and against
// an event outside the areas, which no page would show.
func TestEventsPageIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	if string(page) != EventsPage() {
		t.Fatal("docs/events.md is not current; run go generate ./internal/obs")
	}
	is.Equal(strings.Count(string(page), "\n| 1"), len(Events()))
}
