package e2e

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

// Guards against completions that end without an answer in a planned stop, because the router closes a kept connection
// whose next request has arrived or been read.
func TestStopAnswersBusyKeptConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("child processes run without the race detector; the run without -short covers this test")
	}
	const stops, callersEach = 6, 32
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine", "--token-interval", "1ms")
	key := publishEngines(t, logURL, engineURL)
	batch, err := record.Encode([]record.Item{{Adjust: &record.Adjust{Entry: key, ID: "t2", Delta: 1000 * testPrepaidTokens}}})
	if err != nil {
		t.Fatal(err)
	}
	stream := record.LedgerStream(record.Partition("bench", 8))
	if _, err := logclient.New(logURL).Append(context.Background(), stream, batch); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var lost []error
	answers, completed := 0, 0
	for range stops {
		r := startRouter(t, "vm-1", logURL)
		var callers sync.WaitGroup
		for caller := range callersEach {
			callers.Go(func() {
				n, ok, err := keepCompleting(t, r.url, caller*10_000)
				mu.Lock()
				defer mu.Unlock()
				answers, completed = answers+n, completed+ok
				if err != nil {
					lost = append(lost, err)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		if err := r.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		callers.Wait()
		r.waitForExit(t)
	}
	started := startedRequests(t, engineURL)
	t.Logf("%d answers, %d of them completions; %d requests without an answer; the engine started %d",
		answers, completed, len(lost), started)
	for _, err := range lost[:min(len(lost), 3)] {
		t.Errorf("a request on a kept connection got no answer: %v", err)
	}
}

// keepCompleting sends completions on one connection, each as soon as the last answer is in, until an answer announces the
// close of the connection. It returns the number of answers and of completions, and the error of a request without an
// answer.
func keepCompleting(t *testing.T, url string, first int) (answers, completed int, err error) {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		return 0, 0, nil
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		var message strings.Builder
		if err := newCompletionRequest(t, url, shortRequest(first+answers)).Write(&message); err != nil {
			t.Error(err)
			return answers, completed, nil
		}
		if _, err := io.WriteString(c, message.String()); err != nil {
			return answers, completed, err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers, completed, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return answers, completed, err
		}
		answers++
		if resp.StatusCode == http.StatusOK {
			completed++
		}
		if resp.Close {
			return answers, completed, nil
		}
	}
}

// Guards against a planned stop that waits for the read timeout (30 s) of a caller that has sent a part of its request's head.
func TestStopDoesNotWaitForIncompleteRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("needs several seconds")
	}
	const limit = 10 * time.Second
	logURL, engineURL := startStandin(t, "log"), startStandin(t, "engine")
	publishEngines(t, logURL, engineURL)
	r := startRouter(t, "vm-1", logURL)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHo"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	r.shutdown(t)
	if took := time.Since(start); took > limit {
		t.Errorf("the router stopped after %s", took)
	}
}
