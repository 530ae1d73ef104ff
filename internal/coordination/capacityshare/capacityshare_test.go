package capacityshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dotterelthread/dotterelthread/internal/testseed"
)

// Guards against parts that together exceed the slots, with any demands, some of them old, missing or malformed.
func TestPartsAddUpToTheSlots(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		routers, total := rapid.IntRange(largeFleet, 100).Draw(r, "routers"), rapid.IntRange(10, 3000).Draw(r, "slots")
		var members []Member
		for i := range routers {
			m := Member{VM: fmt.Sprint(i), Age: time.Duration(rapid.IntRange(0, 60).Draw(r, "age")) * time.Second}
			switch rapid.IntRange(0, 5).Draw(r, "kind") {
			case 0: // missing
			case 1:
				m.Demand = rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(r, "bytes")
			default:
				m.Demand = Encode(Demand{"s": rapid.Float64Range(0, 500).Draw(r, "demand")})
			}
			members = append(members, m)
		}
		sum := 0
		for i := range members {
			d := New(fmt.Sprint(i))
			d.Update(members, routers)
			sum += d.Capacity("s", total, Free{Known: true})
		}
		// A part is at least 1, and rounding adds less than one half to each.
		if float64(sum) > overcommit*float64(total)+float64(routers) {
			r.Fatalf("parts of %d slots add up to %d", total, sum)
		}
	})
}

// Guards against parts that change while the store is away for a few seconds, and against ones that never become equal.
func TestPartsHoldAndDriftToEqualOnes(t *testing.T) {
	is := is.New(t)
	part := func(age time.Duration) int {
		d, members := New("0"), make([]Member, 50)
		for i := range members {
			members[i] = Member{VM: fmt.Sprint(i), Demand: Encode(Demand{}), Age: age}
		}
		members[0].Demand = Encode(Demand{"s": 100})
		d.Update(members, len(members))
		return d.Capacity("s", 1000, Free{Known: true})
	}
	is.Equal(part(0), 1128)
	is.Equal(part(9*time.Second), 1128)
	is.True(part(25*time.Second) < 1000)
	is.Equal(part(time.Minute), 25)
}

// Guards against a demand that makes an absurd one of the whole fleet, or a heartbeat too large.
func TestDecodeRefusesAbsurdDemands(t *testing.T) {
	is := is.New(t)
	many := make(Demand)
	for i := range 2 * maxPools {
		many[fmt.Sprint(i)] = float64(i)
	}
	many["absurd"] = 1e300
	d, err := Decode(Encode(many))
	is.NoErr(err)
	is.Equal(len(d), maxPools)
	is.Equal(d["absurd"], float64(maxDemand))
	_, err = Decode([]byte{0xa1, 0x61, 's', 0x20}) // {"s": -1}
	is.True(err != nil)
	_, err = Decode([]byte{0xa1, 0x61, 's', 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	is.True(err != nil)
}
