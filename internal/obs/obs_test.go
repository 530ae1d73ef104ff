package obs

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an outdated docs/events.md, and against an event whose number is in no area, which would be
// missing from the page.
func TestEventsPageIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	if string(page) != EventsPage() {
		t.Fatal("docs/events.md is outdated; run go generate ./internal/obs")
	}
	is.Equal(strings.Count(string(page), "\n| 1"), len(Events()))
}
