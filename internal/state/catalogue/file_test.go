package catalogue

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

const validFile = `
entries:
  - name: bench
    owner: foreman@bladeline.example
    team: setters
    class: interactive
    models: [tooth-7b]
    credentials: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]
    limits: {requests_per_second: 5}
    prepaid:
      - {id: first, tokens: 1000}
upstreams:
  - name: engine-1
    kind: engine
    address: http://127.0.0.1:9001
    models: [tooth-7b]
`

func TestParseAcceptsValidFile(t *testing.T) {
	is := is.New(t)
	c, found := Parse("c.yaml", []byte(validFile))
	is.Equal(len(found), 0)
	is.Equal(c.Entries[0].Limits.RequestsPerSecond, 5.0)
	is.Equal(c.Entries[0].Prepaid[0].Tokens, int64(1000))
}

// Guards against a check that stops at the first error, so that an operator needs one run per error.
func TestParseReportsAllFindings(t *testing.T) {
	is := is.New(t)
	invalid := strings.NewReplacer(
		"class: interactive", "class: urgent\n    colour: red\n    owner: twice",
		"tokens: 1000", "tokens: 10MB",
		"http://127.0.0.1:9001", "http://engine.local:9001",
	).Replace(validFile)
	_, found := Parse("c.yaml", []byte(invalid))
	var lines []string
	for _, f := range found {
		lines = append(lines, f.String())
	}
	all := strings.Join(lines, "\n")
	for _, want := range []string{
		"c.yaml:6: entries[0].class: must be interactive, service or queued",
		"c.yaml:7: entries[0].colour: unknown key",
		"c.yaml:8: entries[0].owner: key appears twice, first at line 4",
		"c.yaml:13: entries[0].prepaid[0].tokens: must be a whole number without a unit",
		"c.yaml:17: upstreams[0].address: must name an IP number and a port",
	} {
		is.True(strings.Contains(all, want)) // a finding is missing or has the wrong position
	}
}

// Guards against a credential that selects two entries.
func TestDuplicateCredentialIsFound(t *testing.T) {
	is := is.New(t)
	second := strings.Replace(validFile, "upstreams:", `  - name: second
    owner: o
    team: setters
    class: queued
    models: [tooth-7b]
    credentials: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]
upstreams:`, 1)
	_, found := Parse("c.yaml", []byte(second))
	is.Equal(len(found), 1)
	is.Equal(found[0].Path, "entries[1].credentials[0]")
}

// Guards against a change that Diff omits, which dotterelctl publish would then silently not make.
func TestDiffAppliedGivesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawCatalogue(t, "from"), drawCatalogue(t, "to")
		d := Diff(from, to)
		entries := make(map[string]Entry)
		for _, e := range from.Entries {
			entries[e.Name] = e
		}
		for _, name := range d.RemovedEntries {
			delete(entries, name)
		}
		for _, e := range d.Upserts.Entries {
			entries[e.Name] = e
		}
		if len(entries) != len(to.Entries) {
			t.Fatalf("%d entries after the delta, want %d", len(entries), len(to.Entries))
		}
		for _, e := range to.Entries {
			if len(changedFields(entries[e.Name], e)) > 0 {
				t.Fatalf("entry %s differs after the delta", e.Name)
			}
		}
		if rest := Diff(to, to); !rest.Empty() {
			t.Fatalf("a catalogue differs from itself: %v", rest.Changes)
		}
	})
}

func drawCatalogue(t *rapid.T, label string) Catalogue {
	var c Catalogue
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, label)
	for _, n := range names {
		c.Entries = append(c.Entries, Entry{
			Name: n, Team: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"),
			Models: rapid.SliceOfN(rapid.SampledFrom([]string{"m", "n"}), 0, 2).Draw(t, "models"),
		})
	}
	return c
}

// Guards against a panic of the parser on arbitrary bytes, and against a valid catalogue that Marshal writes
// as an invalid one.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("entries: [{name: &a x, team: *a}]"))
	f.Add([]byte("entries: {}\nupstreams: 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, found := Parse("f", data); len(found) == 0 {
			out, err := Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			if _, again := Parse("f", out); len(again) > 0 {
				t.Fatalf("a valid catalogue has findings after marshalling: %v", again)
			}
		}
	})
}
