package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/dotterelthread/dotterelthread/internal/protocol/chat"
)

// newRequest returns a request with the test credential and v as its JSON body,
// or no body for nil.
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
	req.Header.Set("Authorization", "Bearer "+testSecret)
	return req
}

// do sends a request and reads the whole answer.
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

func get(t *testing.T, url string) string {
	t.Helper()
	_, body := do(t, newRequest(t, http.MethodGet, url, nil))
	return body
}

// getJSON decodes an answer into v.
func getJSON(t *testing.T, url string, v any) {
	t.Helper()
	body := get(t, url)
	if err := json.Unmarshal([]byte(body), v); err != nil {
		t.Fatalf("%s: %v in %s", url, err, body)
	}
}

// change sends a change to a stand-in, which must accept it.
func change(t *testing.T, method, url string, v any) {
	t.Helper()
	resp, body := do(t, newRequest(t, method, url, v))
	if resp.StatusCode/100 != 2 {
		t.Fatalf("%s %s answered %s: %s", method, url, resp.Status, body)
	}
}

// completion returns a request for a chat completion.
func completion(t *testing.T, url string, req chat.Request) *http.Request {
	t.Helper()
	return newRequest(t, http.MethodPost, url+"/v1/chat/completions", req)
}

// ask sends a chat completion and reads the whole answer.
func ask(t *testing.T, url string, req chat.Request) (*http.Response, string) {
	t.Helper()
	return do(t, completion(t, url, req))
}
