package membuf

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dotterelthread/dotterelthread/internal/transport/netopt"
)

// Guards against parts that together exceed the memory of the VM, which the kernel or the platform ends the process for.
func TestPartsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Int64Range(48<<20, 64<<30).Draw(rt, "limit")
		p := Divide(limit)
		kernel := int64(p.Connections+p.AcceptQueue)*netopt.UnreadBytes + p.LargeWindows*netopt.EnlargedUnreadBytes
		if total := p.Runtime + kernel + fixedBytes; total > limit {
			rt.Fatalf("%d of %d bytes: %+v", total, limit, p)
		}
		if held := p.Requests + p.Responses + p.Answers + int64(p.Connections)*ConnectionBytes; held > p.Runtime {
			rt.Fatalf("%d of %d bytes of the runtime: %+v", held, p.Runtime, p)
		}
	})
}

// Guards against limits that sound callers meet: a body of the largest size on the smallest VM of the target, and fewer connections
// than the descriptors of a usual VM allow.
func TestPartsLeaveRoomForSoundCallers(t *testing.T) {
	is := is.New(t)
	const largestBody = 4 << 20
	smallest := Divide(144 << 20)
	is.Equal(NewIncoming(smallest.Requests, nil).MaxBody(largestBody), int64(largestBody))
	is.True(smallest.LargeWindows > 0)
	is.True(Divide(284<<20).Connections >= (4100-200)/2)
}
