// Package settings defines and checks the static settings of the router daemon, each of which is a flag and
// an environment variable. Settings that change at run time are in the catalogue. cmd/dotterelthread loads
// the settings and package daemon uses them. "The platform" in the descriptions is the environment that
// provides the log and the VM list over HTTP (package logclient). Package platform has its own settings.
package settings

import "time"

// Daemon holds the settings of a router process.
type Daemon struct {
	Dev                  bool          `long:"dev" env:"DOTTERELTHREAD_DEV" description:"run a single router with an in-process log, one stand-in upstream and a sample catalogue"`
	Listen               string        `long:"listen" env:"DOTTERELTHREAD_LISTEN" default:"127.0.0.1:8080" description:"address for callers"`
	AdminListen          string        `long:"admin-listen" env:"DOTTERELTHREAD_ADMIN_LISTEN" default:"127.0.0.1:8081" description:"address for health checks, metrics and operators"`
	VM                   string        `long:"vm" env:"DOTTERELTHREAD_VM" default:"vm-1" description:"ID of this VM in the platform's VM list"`
	Zone                 string        `long:"zone" env:"DOTTERELTHREAD_ZONE" default:"zone-a" description:"availability zone of this VM"`
	Region               string        `long:"region" env:"DOTTERELTHREAD_REGION" default:"region-1" description:"region of this VM"`
	LogURL               string        `long:"log-url" env:"DOTTERELTHREAD_LOG_URL" description:"base URL of the platform's log"`
	LedgerPartitions     int           `long:"ledger-partitions" env:"DOTTERELTHREAD_LEDGER_PARTITIONS" default:"8" description:"number of ledger streams; must be the same in the whole fleet"`
	PeerListen           string        `long:"peer-listen" env:"DOTTERELTHREAD_PEER_LISTEN" description:"address for other routers, an IP address and a port; without it the router has no peers"`
	PeerKey              string        `long:"peer-key" env:"DOTTERELTHREAD_PEER_KEY" description:"key shared by all routers, at least 32 bytes; set it in the environment, not on the command line"`
	PeerTLSCert          string        `long:"peer-tls-cert" env:"DOTTERELTHREAD_PEER_TLS_CERT" description:"certificate file for connections between routers; without it they are not encrypted"`
	PeerTLSKey           string        `long:"peer-tls-key" env:"DOTTERELTHREAD_PEER_TLS_KEY" description:"private key file of the certificate"`
	PeerTLSCA            string        `long:"peer-tls-ca" env:"DOTTERELTHREAD_PEER_TLS_CA" description:"CA file to verify the other routers' certificates"`
	VMListURL            string        `long:"vm-list-url" env:"DOTTERELTHREAD_VM_LIST_URL" description:"base URL of the platform's VM list"`
	ClaimPartitions      int           `long:"claim-partitions" env:"DOTTERELTHREAD_CLAIM_PARTITIONS" default:"16" description:"number of claim streams; must be the same in the whole fleet"`
	ClaimInterval        time.Duration `long:"claim-interval" env:"DOTTERELTHREAD_CLAIM_INTERVAL" default:"250ms" description:"shortest time between two appends to a claim stream"`
	ClaimRetention       time.Duration `long:"claim-retention" env:"DOTTERELTHREAD_CLAIM_RETENTION" default:"24h" description:"time for which the idempotency key of a non-idempotent request is kept; must be the same in the whole fleet"`
	LogRetention         time.Duration `long:"log-retention" env:"DOTTERELTHREAD_LOG_RETENTION" default:"24h" description:"time for which the log keeps records; snapshots are written within half of it"`
	LogRetainRecords     uint64        `long:"log-retain-records" env:"DOTTERELTHREAD_LOG_RETAIN_RECORDS" default:"0" description:"records that the log keeps per stream; 0 if only their age counts"`
	WeightPullsPerSecond float64       `long:"weight-pulls-per-second" env:"DOTTERELTHREAD_WEIGHT_PULLS_PER_SECOND" default:"1" description:"rate limit of the weight store for the whole fleet, in pulls per second"`
	ConfigLease          time.Duration `long:"config-lease" env:"DOTTERELTHREAD_CONFIG_LEASE" default:"4s" description:"time for which a router that can reach neither the log nor a peer that has read it still serves requests; a longer time means fewer refusals but a staler configuration"`
	BudgetHorizon        time.Duration `long:"budget-horizon" env:"DOTTERELTHREAD_BUDGET_HORIZON" default:"1h" description:"time for which a share should last at the current demand"`
	AppendThroughHome    bool          `long:"append-through-home" env:"DOTTERELTHREAD_APPEND_THROUGH_HOME" description:"send grants of shares and settlements (reports of spent tokens) through one router per ledger partition (its home), which batches them; for fleets whose appends come near the rate limit of the log"`
	BudgetReservePercent int64         `long:"budget-reserve" env:"DOTTERELTHREAD_BUDGET_RESERVE" default:"0" description:"percentage of an entry's free budget that only the home of its ledger partition (one router) may request"`
	WaitInteractive      time.Duration `long:"wait-interactive" env:"DOTTERELTHREAD_WAIT_INTERACTIVE" default:"2s" description:"longest time that an interactive request waits for budget before it is refused"`
	WaitQueued           time.Duration `long:"wait-queued" env:"DOTTERELTHREAD_WAIT_QUEUED" default:"10s" description:"longest time that a queued request waits for budget before it is refused"`
	BillBuffer           int           `long:"bill-buffer" env:"DOTTERELTHREAD_BILL_BUFFER" default:"100000" description:"largest number of bills kept in memory while the log is down"`
	FlushInterval        time.Duration `long:"flush-interval" env:"DOTTERELTHREAD_FLUSH_INTERVAL" default:"500ms" description:"time between two appends of bills and settlements"`
	GrantSize            int64         `long:"grant-size" env:"DOTTERELTHREAD_GRANT_SIZE" default:"20000" description:"smallest share requested from the log, in tokens"`
	MaxBodyBytes         int64         `long:"max-body-bytes" env:"DOTTERELTHREAD_MAX_BODY_BYTES" default:"8388608" description:"largest request body, in bytes"`
	MaxHeaderBytes       int           `long:"max-header-bytes" env:"DOTTERELTHREAD_MAX_HEADER_BYTES" default:"65536" description:"largest request header, in bytes"`
	ReadTimeout          time.Duration `long:"read-timeout" env:"DOTTERELTHREAD_READ_TIMEOUT" default:"30s" description:"longest time to read a request"`
	WriteTimeout         time.Duration `long:"write-timeout" env:"DOTTERELTHREAD_WRITE_TIMEOUT" default:"30s" description:"longest time for which a caller may stop reading its response"`
	RequestTimeout       time.Duration `long:"request-timeout" env:"DOTTERELTHREAD_REQUEST_TIMEOUT" default:"30m" description:"longest duration of a request"`
	AttemptTimeout       time.Duration `long:"attempt-timeout" env:"DOTTERELTHREAD_ATTEMPT_TIMEOUT" default:"0s" description:"time without a response after which an idempotent request is sent to another upstream; 0 disables this"`
	ResumeTimeout        time.Duration `long:"resume-timeout" env:"DOTTERELTHREAD_RESUME_TIMEOUT" default:"10s" description:"longest time without progress while a broken stream is resumed"`
	RepeatWait           time.Duration `long:"repeat-wait" env:"DOTTERELTHREAD_REPEAT_WAIT" default:"30s" description:"longest time that a request with a repeated idempotency key waits for the request in progress"`
	UnknownBillDelay     time.Duration `long:"unknown-bill-delay" env:"DOTTERELTHREAD_UNKNOWN_BILL_DELAY" default:"10m" description:"time after which a request with an unknown outcome is billed at its upper bound"`
	RequestRetention     time.Duration `long:"request-retention" env:"DOTTERELTHREAD_REQUEST_RETENTION" default:"10m" description:"time for which the status of a finished request can be queried"`
	MaxFinishedRequests  int           `long:"requests-kept" env:"DOTTERELTHREAD_REQUESTS_KEPT" default:"20000" description:"largest number of finished requests kept in memory"`
	AnswerMemory         int           `long:"answer-memory" env:"DOTTERELTHREAD_ANSWER_MEMORY" default:"33554432" description:"memory for responses stored under their idempotency keys, in bytes, at most a twelfth of the limit of the Go runtime"`
	ResponseMemory       int64         `long:"response-memory" env:"DOTTERELTHREAD_RESPONSE_MEMORY" default:"134217728" description:"memory for the upstreams' responses in progress, in bytes, at most a sixth of the limit of the Go runtime; one upstream may use half of it"`
	MemoryLimit          int64         `long:"memory-limit" env:"DOTTERELTHREAD_MEMORY_LIMIT" default:"0" description:"memory of the VM, in bytes, from which the limits of connections, requests and responses follow; 0 means that GOMEMLIMIT is the limit of the Go runtime or, without one, the memory of the machine or its control group"`
	RequestMemory        int64         `long:"request-memory" env:"DOTTERELTHREAD_REQUEST_MEMORY" default:"0" description:"memory for the callers' requests in progress, in bytes; 0 means a quarter of the limit of the Go runtime, 256 MiB at most; a body may use a third of it"`
	MaxAnswerBytes       int           `long:"max-answer-bytes" env:"DOTTERELTHREAD_MAX_ANSWER_BYTES" default:"1048576" description:"largest response stored under its idempotency key, in bytes"`
	MaxRequests          int64         `long:"max-requests" env:"DOTTERELTHREAD_MAX_REQUESTS" default:"4096" description:"largest number of open requests"`
	MaxConnections       int           `long:"max-connections" env:"DOTTERELTHREAD_MAX_CONNECTIONS" default:"8192" description:"largest number of callers' connections; fewer if the memory or half of the process's descriptors allow no more"`
	IdleTimeout          time.Duration `long:"idle-timeout" env:"DOTTERELTHREAD_IDLE_TIMEOUT" default:"2m" description:"longest idle time of a caller's connection"`
	DrainDelay           time.Duration `long:"drain-delay" env:"DOTTERELTHREAD_DRAIN_DELAY" default:"200ms" description:"time between readiness turning false and closing the listener"`
	DrainTimeout         time.Duration `long:"drain-timeout" env:"DOTTERELTHREAD_DRAIN_TIMEOUT" default:"10m" description:"longest time for open requests to finish during shutdown"`
	TraceExporter        string        `long:"trace-exporter" env:"DOTTERELTHREAD_TRACE_EXPORTER" default:"none" description:"exporter of traces: none, stdout or otlp (OTLP over HTTP)"`
	TraceEndpoint        string        `long:"trace-endpoint" env:"DOTTERELTHREAD_TRACE_ENDPOINT" description:"base URL of the OTLP collector"`
	LogFormat            string        `long:"log-format" env:"DOTTERELTHREAD_LOG_FORMAT" default:"text" description:"format of log lines: text or json"`
	LogLevel             string        `long:"log-level" env:"DOTTERELTHREAD_LOG_LEVEL" default:"info" description:"lowest level of log lines: error, warn, info or debug"`
}
