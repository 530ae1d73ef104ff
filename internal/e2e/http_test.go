package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// newRequest returns a request with the test credential and v as its JSON body; nil gives no body.
func newRequest(t *testing.T, method, url string, v any) *http.Request {
	t.Helper()
	var body []byte
	if v != nil {
		var err error
		if body, err = json.Marshal(v); err != nil {
			t.Fatal(err)
		}
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testCredential)
	return req
}

// do sends a request and reads the complete response.
func do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// get sends a request with the test credential and returns the response body, whatever the status.
func get(t *testing.T, url string) string {
	t.Helper()
	_, body := do(t, newRequest(t, http.MethodGet, url, nil))
	return body
}

// getJSON decodes the response body into v.
func getJSON(t *testing.T, url string, v any) {
	t.Helper()
	body := get(t, url)
	if err := json.Unmarshal([]byte(body), v); err != nil {
		t.Fatalf("%s: %v in %s", url, err, body)
	}
}

// updateStandin sends a request that changes a stand-in's state and requires a 2xx response.
func updateStandin(t *testing.T, method, url string, v any) {
	t.Helper()
	resp, body := do(t, newRequest(t, method, url, v))
	if resp.StatusCode/100 != 2 {
		t.Fatalf("%s %s: status %s: %s", method, url, resp.Status, body)
	}
}

func newCompletionRequest(t *testing.T, url string, req chat.Request) *http.Request {
	t.Helper()
	return newRequest(t, http.MethodPost, url+"/v1/chat/completions", req)
}

// sendCompletion sends a chat completion request and reads the complete response.
func sendCompletion(t *testing.T, url string, req chat.Request) (*http.Response, string) {
	t.Helper()
	return do(t, newCompletionRequest(t, url, req))
}
