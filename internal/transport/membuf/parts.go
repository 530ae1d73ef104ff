package membuf

import "github.com/dotterelthread/dotterelthread/internal/transport/netopt"

// Parts is how the memory of a VM is divided. Its rows add up to the limit: Runtime, what Connections and LargeWindows have received
// and the process has not read, and fixedBytes. See docs/design/memory-limits.md.
type Parts struct {
	// Runtime is the soft limit of the Go runtime, in bytes. It contains Requests, Responses and Answers and the buffers of
	// Connections; the rest is for the state of the router and for garbage.
	Runtime int64
	// Requests is for callers' requests in progress, Responses for those of upstreams in progress, and Answers for those that are
	// kept for repeated requests, in bytes.
	Requests, Responses, Answers int64
	// Connections is the number of callers' connections, and AcceptQueue the number of those that the kernel may accept ahead.
	Connections, AcceptQueue int
	// LargeWindows is the number of connections with an enlarged receive buffer.
	LargeWindows int64
}

const (
	// fixedBytes is for the program's text, the stacks of its threads and the C library, which the runtime does not count.
	fixedBytes = 20 << 20
	// runtimeNumerator and runtimeDenominator are the largest part of the limit for the runtime.
	runtimeNumerator, runtimeDenominator = 7, 10
	// Parts of Runtime, as their inverses.
	requestPart, responsePart, answerPart = 4, 6, 12
	// The connections' buffers may use connectionNumerator/connectionDenominator of Runtime.
	connectionNumerator, connectionDenominator = 2, 5
	largeWindowPart                            = 32
	// ConnectionBytes is what the runtime holds for a connection: goroutines, buffers, and a head and a body that are too small
	// to count towards Requests.
	ConnectionBytes = 40 << 10
	// queuePart is the part of Connections, as its inverse, that the kernel may accept ahead.
	queuePart = 2
	// minRuntime is for limits that are too small for any router.
	minRuntime = 16 << 20
)

// Divide divides a limit in bytes.
func Divide(limit int64) Parts {
	// The buffers of the kernel are proportional to Runtime.
	runtime := min(limit*runtimeNumerator/runtimeDenominator, int64(float64(limit-fixedBytes)/(1+kernelRatio)))
	return DivideRuntime(max(minRuntime, runtime))
}

// kernelRatio is what the kernel may hold for all connections in proportion to Runtime.
const kernelRatio = float64(connectionNumerator)/connectionDenominator/ConnectionBytes*netopt.UnreadBytes*(1+1.0/queuePart) + 1.0/largeWindowPart

// DivideRuntime divides the memory of a VM whose soft limit of the runtime is given.
func DivideRuntime(limit int64) Parts {
	connections := max(1, limit*connectionNumerator/connectionDenominator/ConnectionBytes)
	return Parts{
		Runtime: limit, Requests: limit / requestPart, Responses: limit / responsePart, Answers: limit / answerPart,
		Connections: int(connections), AcceptQueue: int(max(1, connections/queuePart)),
		LargeWindows: limit / largeWindowPart / netopt.EnlargedUnreadBytes,
	}
}
