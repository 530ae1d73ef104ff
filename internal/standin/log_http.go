package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/transport/logclient"
)

const maxRecordBytes = 4 << 20

// LogHandler returns an HTTP handler that serves a log in the protocol of package logclient. PUT /faults sets
// the faults of the log.
func LogHandler(l *Log) http.Handler {
	r := httprouter.New()
	r.POST("/streams/:name/records", func(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
		data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRecordBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		w.Header().Set(logclient.HeaderEra, strconv.FormatUint(l.Era(), 10))
		offset, err := l.Append(req.Context(), p.ByName("name"), data)
		if errors.Is(err, logstream.ErrOutcomeUnknown) {
			abortConnection(w)
			return
		}
		writeResult(w, logclient.AppendResponse{Offset: offset}, err)
	})
	r.GET("/streams/:name/records", func(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
		q := req.URL.Query()
		from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		limit, _ := strconv.Atoi(q.Get("max"))
		waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
		page, err := l.Read(req.Context(), p.ByName("name"), from, limit, time.Duration(waitMS)*time.Millisecond)
		w.Header().Set(logclient.HeaderEra, strconv.FormatUint(l.Era(), 10))
		writeResult(w, logclient.NewReadResponse(page), err)
	})
	r.PUT("/faults", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var f LogFaults
		if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetFaults(f)
	})
	return r
}

// abortConnection closes the connection without a response, as a crash would. It does not return.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, logstream.ErrTrimmed):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}
