package e2e

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
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
	// The crowds of many callers meet a smaller VM.
	crowdManyMemoryMB  = 128
	crowdManySoftLimit = "89MiB"
	crowdManyCallers   = 800
)

// Guards against callers that end the router's process with large bodies that stop just short of their end, in one piece or
// many, with a length or in chunks, or that are far over the limit.
func TestCrowdsStayWithinMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("sends some hundred megabytes")
	}
	testcrowd.Exclusive(t)
	legal := testcrowd.Crowd{BodyBytes: crowdBodyBytes, WholeEvery: crowdWholeEvery, Piece: 64 << 10}
	whole, pieces, largeChunks, smallChunks := legal, legal, legal, legal
	whole.Piece, pieces.Piece = crowdBodyBytes, 16<<10
	largeChunks.ChunkBytes, smallChunks.ChunkBytes = 256<<10, 16
	largeChunks.Piece = 256 << 10
	announced := testcrowd.Crowd{BodyBytes: crowdEndlessBody, Piece: 64 << 10}
	stopped := testcrowd.Crowd{BodyBytes: crowdBodyBytes, AnnouncedBytes: 1 << 30, Piece: 64 << 10}
	sent := announced
	sent.ChunkBytes = 64 << 10
	many := testcrowd.Crowd{Callers: crowdManyCallers}
	wholeOfMany, refused, singleBytes, small := many, many, many, many
	wholeOfMany.BodyBytes, wholeOfMany.Piece = 1<<20, 1<<20
	refused.BodyBytes, refused.AnnouncedBytes, refused.Piece = crowdBodyBytes, 50<<20, 64<<10
	singleBytes.BodyBytes, singleBytes.Piece, singleBytes.ChunkBytes = 16<<10, 1<<10, 1
	small.BodyBytes, small.Piece = 15_000, 15_000
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
		{"many, whole", wholeOfMany, completion}, {"many, too large, announced", refused, completion},
		{"many, chunks of one byte", singleBytes, completion}, {"many, small", small, completion},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			memoryMB, softLimit := crowdMemoryMB, crowdSoftLimit
			if c.crowd.Callers == crowdManyCallers {
				memoryMB, softLimit = crowdManyMemoryMB, crowdManySoftLimit
			}
			t.Setenv("GOMEMLIMIT", softLimit)
			logURL := startStandin(t, "log")
			publishEngines(t, logURL, startStandin(t, "engine"))
			r := startRouter(t, "vm-1", logURL, "--max-body-bytes", fmt.Sprint(crowdBodyBytes))
			process := testcrowd.Process{PID: r.cmd.Process.Pid}
			crowd := c.crowd
			crowd.Address, crowd.Callers, crowd.BodyEnd = strings.TrimPrefix(r.url, "http://"), cmp.Or(crowd.Callers, crowdCallers), `"}]}`
			crowd.Head = func(caller int) (head, bodyStart string) {
				line, start := c.request(caller)
				return line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testCredential + "\r\n", start
			}
			stopWatch := process.WatchUsage(crowd.Address)
			closeAll := crowd.Send()
			defer closeAll()
			waitServed(t, r)
			usage, err := stopWatch()
			is.NoErr(err) // the process lives
			peak, err := process.PeakMemory()
			is.NoErr(err)
			t.Logf("%d MB with %d MB unread (resident %d MB) of %d MB, %d open files",
				usage.Memory>>20, usage.Unread>>20, peak>>20, memoryMB, usage.Files)
			is.True(max(peak, usage.Memory) < int64(memoryMB)<<20)
			is.True(usage.Files < crowdFilesBound+c.crowd.Callers) // Callers is 0 in the crowds of crowdCallers
		})
	}
}

// waitServed waits until an ordinary request is answered.
func waitServed(t *testing.T, r *router) {
	t.Helper()
	waitWithin(t, 60*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		resp, err := http.DefaultClient.Do(newCompletionRequest(t, r.url, chat.Request{
			Model: testModel, MaxTokens: 2, Messages: []chat.Message{{Role: "user", Content: "tooth angle"}},
		}).WithContext(ctx))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Guards against callers that take all connections with small bodies that stop just short of their end, so that nobody else is
// answered while they wait. A crowd of the same size at the operators' port must not change that.
func TestStalledBodiesLeaveRoom(t *testing.T) {
	if testing.Short() {
		t.Skip("sends some hundred requests")
	}
	testcrowd.Exclusive(t)
	const (
		connections   = 100
		stalled       = 250
		openFileLimit = 600
	)
	for name, admin := range map[string]bool{"callers' port": false, "operators' port": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("GOMEMLIMIT", crowdManySoftLimit)
			logURL := startStandin(t, "log")
			publishEngines(t, logURL, startStandin(t, "engine"))
			r := startRouter(t, "vm-1", logURL, "--max-connections", fmt.Sprint(connections), "--read-timeout", "10m")
			callers, operators := strings.TrimPrefix(r.url, "http://"), strings.TrimPrefix(r.admin, "http://")
			crowd := testcrowd.Crowd{Address: callers, Callers: stalled, BodyBytes: 15_000, Piece: 15_000}
			if admin {
				crowd.Address, crowd.BodyBytes, crowd.Callers = operators, 1<<20, crowdManyCallers
			}
			crowd.Head = func(int) (head, bodyStart string) {
				path := "/v1/chat/completions"
				if admin {
					path = "/admin/catalogue"
				}
				return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testCredential + "\r\n", ""
			}
			stopWatch := testcrowd.Process{PID: r.cmd.Process.Pid}.WatchUsage(callers, operators)
			defer crowd.Send()()
			waitServed(t, r)
			usage, err := stopWatch()
			is.NoErr(err) // the process lives
			t.Logf("%d MB with %d MB unread, %d open files", usage.Memory>>20, usage.Unread>>20, usage.Files)
			is.True(usage.Memory < crowdManyMemoryMB<<20)
			is.True(usage.Files < openFileLimit)
		})
	}
}

// Guards against a process that does not stop because callers hold requests that are incomplete, whether their bodies are read
// or were refused before.
func TestStopBesideStalledRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the time for a body")
	}
	testcrowd.Exclusive(t)
	const stalled = 100
	logURL := startStandin(t, "log")
	publishEngines(t, logURL, startStandin(t, "engine"))
	r := startRouter(t, "vm-1", logURL, "--read-timeout", "5s")
	for _, credential := range []string{testCredential, "unknown"} {
		crowd := testcrowd.Crowd{
			Address: strings.TrimPrefix(r.url, "http://"), Callers: stalled, BodyBytes: 15_000, Piece: 15_000,
			Head: func(int) (head, bodyStart string) {
				return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + credential + "\r\n", ""
			},
		}
		defer crowd.Send()()
	}
	waitServed(t, r)
	is := is.New(t)
	is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
	waitWithin(t, 60*time.Second, func() bool { return hasEnded(r.cmd.Process.Pid) })
}

// Guards against a process that takes callers' connections until it has no descriptors left for upstreams and the log, because
// its limit of connections does not follow from that of its descriptors.
func TestCrowdLeavesDescriptors(t *testing.T) {
	if testing.Short() {
		t.Skip("sends some hundred requests")
	}
	testcrowd.Exclusive(t)
	const (
		files   = 300
		callers = 600
	)
	is := is.New(t)
	logURL := startStandin(t, "log")
	publishEngines(t, logURL, startStandin(t, "engine"))
	t.Setenv(openFilesEnv, fmt.Sprint(files))
	r := startRouter(t, "vm-1", logURL, "--read-timeout", "10m")
	crowd := testcrowd.Crowd{
		Address: strings.TrimPrefix(r.url, "http://"), Callers: callers, BodyBytes: 15_000, Piece: 15_000,
		Head: func(int) (head, bodyStart string) {
			return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testCredential + "\r\n", ""
		},
	}
	stopWatch := testcrowd.Process{PID: r.cmd.Process.Pid}.WatchUsage(crowd.Address)
	defer crowd.Send()()
	waitServed(t, r)
	usage, err := stopWatch()
	is.NoErr(err) // the process lives
	t.Logf("%d open files of %d", usage.Files, files)
	is.True(usage.Files < files)
}
