package httpapi

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/standin"
)

// Guards against a stream that is joined from engines of two software versions: the engine that began it is lost, or starts
// again with another version, and one that has a copy of the run goes on. A stream goes on at its own version.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for _, c := range []struct {
		name, first string
		// others are the versions of the engines with a copy of the run, in the order in which they are asked.
		others []string
		// restarts is true if the first of others takes over the address of the engine that is lost.
		restarts, goesOn bool
	}{
		{"other version", "v1", []string{"v2"}, false, false},
		{"restart with another version", "v1", []string{"v2"}, true, false},
		{"version not stated", "v1", []string{""}, false, false},
		{"version stated after the start only", "", []string{"v2"}, false, false},
		{"own version behind another", "v1", []string{"v2", "v1"}, false, true},
		{"own version", "v1", []string{"v1"}, false, true},
		{"restart with the same version", "v1", []string{"v1"}, true, true},
		{"no versions", "", []string{""}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var copies []http.Handler
			for _, version := range c.others {
				copies = append(copies, (&standin.Engine{SoftwareVersion: version}).Handler())
			}
			importer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
				body, _ := io.ReadAll(req.Body)
				for _, engine := range copies {
					req.Body = io.NopCloser(bytes.NewReader(body))
					engine.ServeHTTP(httptest.NewRecorder(), req)
				}
			}))
			defer importer.Close()
			first := &standin.Engine{SoftwareVersion: c.first, ExportTo: importer.URL}
			first.SetFaults(standin.EngineFaults{Break: 1, BreakAt: 3})
			var started atomic.Bool
			handlers := []http.Handler{http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				switch {
				case !started.Swap(true):
					first.Handler().ServeHTTP(w, req)
				case c.restarts:
					copies[0].ServeHTTP(w, req)
				default:
					w.WriteHeader(http.StatusNotFound)
				}
			})}
			if !c.restarts {
				handlers = append(handlers, copies...)
			}
			f := newFixture(t, handlers...)
			f.api.Limits.ResumeTimeout = time.Second
			r := f.chat(true, "a b c")
			text, ended := streamText(r.body)
			is.Equal(ended, c.goesOn)
			tokens := strings.Fields(text)
			is.True(len(tokens) >= 3)
			for _, token := range tokens {
				_, version, _ := strings.Cut(token, "/")
				is.Equal(version, c.first) // the text is joined from two versions
			}
			if !c.goesOn {
				is.Equal(r.apiError().Code, CodeOutcomeUnknown)
			}
		})
	}
}

// Guards against a repeat, at another router after the first one was lost, whose answer goes on behind what the caller has: an
// engine of another software version answers it, from the start.
func TestRepeatGetsOneVersionFromTheStart(t *testing.T) {
	is := is.New(t)
	other := (&standin.Engine{SoftwareVersion: "v2"}).Handler()
	importer := httptest.NewServer(other)
	defer importer.Close()
	first := &standin.Engine{SoftwareVersion: "v1", ExportTo: importer.URL}
	first.SetFaults(standin.EngineFaults{Break: 1, BreakAt: 3})
	broken := newFixture(t, withoutResume(first.Handler())).chat(true, "a b c", HeaderIdempotencyKey, "k")
	_, ended := streamText(broken.body)
	is.True(!ended)
	f := newFixture(t, other)
	f.api.Holder = "vm/2"
	repeat := f.chat(true, "a b c", HeaderIdempotencyKey, "k", "Last-Event-Id", "2", "Resumes", broken.header.Get(chat.HeaderRequestID))
	is.Equal(repeat.header.Get(chat.HeaderRequestID), broken.header.Get(chat.HeaderRequestID))
	text, ended := streamText(repeat.body)
	is.True(ended)
	req, _ := chatRequest(true, "a b c")
	is.Equal(strings.ReplaceAll(text, "/v2", ""), strings.Join(standin.ResponseTokens(req), ""))
}
