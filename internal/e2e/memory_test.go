package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
	"github.com/dotterelthread/dotterelthread/internal/testcrowd"
)

// Limits of the router and of the crowd in TestCrowdsStayWithinMemory: together the bodies have 400 MB.
const (
	crowdMemoryMB = 160
	// crowdSoftLimit is the runtime's soft memory limit.
	crowdSoftLimit   = "112MiB"
	crowdBodyBytes   = 4 << 20
	crowdCallers     = 100
	crowdFilesBound  = 400
	crowdWholeEvery  = 5
	crowdEndlessBody = 24 << 20
)

// Guards against callers that end the router's process with large bodies that stop just short of their end, in one piece or
// many, with a length or in chunks, or that are far over the limit.
func TestCrowdsStayWithinMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("sends some hundred megabytes")
	}
	testcrowd.Exclusive(t)
	t.Setenv("GOMEMLIMIT", crowdSoftLimit)
	legal := testcrowd.Crowd{BodyBytes: crowdBodyBytes, WholeEvery: crowdWholeEvery, Piece: 64 << 10}
	whole, pieces, largeChunks, smallChunks := legal, legal, legal, legal
	whole.Piece, pieces.Piece = crowdBodyBytes, 16<<10
	largeChunks.ChunkBytes, smallChunks.ChunkBytes = 256<<10, 16
	largeChunks.Piece = 256 << 10
	announced := testcrowd.Crowd{BodyBytes: crowdEndlessBody, Piece: 64 << 10}
	stopped := testcrowd.Crowd{BodyBytes: crowdBodyBytes, AnnouncedBytes: 1 << 30, Piece: 64 << 10}
	sent := announced
	sent.ChunkBytes = 64 << 10
	service := func(caller int) (head, bodyStart string) { return "POST /v1/services/" + testService + "/add", "" }
	completion := func(caller int) (head, bodyStart string) {
		return "POST /v1/chat/completions", `{"model":"` + testModel + `","max_tokens":4,"messages":[{"role":"user","content":"`
	}
	for _, c := range []struct {
		name    string
		crowd   testcrowd.Crowd
		request func(int) (string, string)
	}{
		{"whole", whole, completion}, {"pieces", pieces, completion}, {"large chunks", largeChunks, completion},
		{"small chunks", smallChunks, completion}, {"service", whole, service},
		{"too large, announced", announced, completion}, {"too large, announced and stopped", stopped, completion},
		{"too large, sent", sent, completion},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			logURL := startStandin(t, "log")
			publishEngines(t, logURL, startStandin(t, "engine"))
			r := startRouter(t, "vm-1", logURL, "--max-body-bytes", fmt.Sprint(crowdBodyBytes))
			process := testcrowd.Process{PID: r.cmd.Process.Pid}
			crowd := c.crowd
			crowd.Address, crowd.Callers, crowd.BodyEnd = strings.TrimPrefix(r.url, "http://"), crowdCallers, `"}]}`
			crowd.Head = func(caller int) (head, bodyStart string) {
				line, start := c.request(caller)
				return line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testCredential + "\r\n", start
			}
			files := process.WatchFiles()
			closeAll := crowd.Send()
			defer closeAll()
			waitWithin(t, 60*time.Second, func() bool {
				resp, err := http.DefaultClient.Do(newCompletionRequest(t, r.url, chat.Request{
					Model: testModel, MaxTokens: 2, Messages: []chat.Message{{Role: "user", Content: "tooth angle"}},
				}))
				if err != nil {
					return false
				}
				defer resp.Body.Close()
				return resp.StatusCode == http.StatusOK
			})
			openFiles := files()
			peak, err := process.PeakMemory()
			is.NoErr(err) // the process lives
			t.Logf("%d MB of %d, %d open files", peak>>20, crowdMemoryMB, openFiles)
			is.True(peak < crowdMemoryMB<<20)
			is.True(openFiles < crowdFilesBound)
		})
	}
}
