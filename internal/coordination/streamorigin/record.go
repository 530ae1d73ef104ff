package streamorigin

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// record is what a VM writes to the log.
type record struct {
	// WrittenMillis is the time of day of the write, in Unix milliseconds.
	WrittenMillis int64           `cbor:"1,keyasint"`
	Services      []serviceRecord `cbor:"2,keyasint"`
	// Epoch and Sequence are those of the append. Processes of a VM have different epochs. Within an epoch each record was
	// built after the log had acknowledged the one before.
	Epoch    uint64 `cbor:"3,keyasint"`
	Sequence uint64 `cbor:"4,keyasint"`
	// Era is that of the log when the record was built. If the log was restored since, later records of the VM may be lost.
	Era uint64 `cbor:"5,keyasint,omitempty"`
}

// serviceRecord is what a VM knows of the streams of one service.
type serviceRecord struct {
	Name     string          `cbor:"1,keyasint"`
	Versions []versionRecord `cbor:"2,keyasint"`
	// Unrecorded are the versions at which earlier processes of the VM may have begun streams that are not in the record, or
	// this one more streams than it remembers or the record holds.
	Unrecorded []string `cbor:"3,keyasint,omitempty"`
}

// versionRecord names a version that upstreams had in the retention time.
type versionRecord struct {
	Version string `cbor:"1,keyasint"`
	// Streams are the hashes of the streams that the version began, with 8 bytes each. They are left out while the
	// service has no other version.
	Streams []byte `cbor:"2,keyasint,omitempty"`
}

const (
	hashBytes = 8
	// recordLifetime is how long a record counts. A running router renews its record within renewInterval; the rest
	// bounds the differences between the clocks of VMs and the time for which streams are remembered.
	recordLifetime = renewInterval + retention + time.Minute
)

func (v *versionRecord) add(h streamHash) {
	v.Streams = binary.BigEndian.AppendUint64(v.Streams, uint64(h))
}

func (v versionRecord) has(h streamHash) bool {
	for rest := v.Streams; len(rest) >= hashBytes; rest = rest[hashBytes:] {
		if binary.BigEndian.Uint64(rest) == uint64(h) {
			return true
		}
	}
	return false
}

func (v versionRecord) hashes() []streamHash {
	out := make([]streamHash, 0, len(v.Streams)/hashBytes)
	for rest := v.Streams; len(rest) >= hashBytes; rest = rest[hashBytes:] {
		out = append(out, streamHash(binary.BigEndian.Uint64(rest)))
	}
	return out
}

func decodeRecord(data []byte) (record, error) {
	var rec record
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return record{}, errors.Wrap(err, "decode stream origins")
	}
	return rec, nil
}

// outdated reports whether the record is too old to say which versions streams of the present may have.
func (rec record) outdated(now time.Time) bool {
	return now.Sub(time.UnixMilli(rec.WrittenMillis)) > recordLifetime
}

// mixed reports whether a service has several versions.
func (rec record) mixed() bool {
	return slices.ContainsFunc(rec.Services, func(s serviceRecord) bool { return len(s.Versions) > 1 })
}

// unlisted adds the versions at which streams may have begun that are not in the record. A complete record has all streams
// that its process began up to the time in question, except those of services with one version.
func (rec record) unlisted(service string, complete bool, versions map[string]struct{}) {
	for _, s := range rec.Services {
		if s.Name != service {
			continue
		}
		for _, version := range s.Unrecorded {
			versions[version] = struct{}{}
		}
		for _, v := range s.Versions {
			if !complete || len(s.Versions) == 1 {
				versions[v.Version] = struct{}{}
			}
		}
	}
}

// find returns the origins of a stream. A stream whose route has moved has one in each service that it went on at.
func (rec record) find(h streamHash) (origins []Origin) {
	for _, s := range rec.Services {
		for _, v := range s.Versions {
			if v.has(h) {
				origins = append(origins, Origin{Service: s.Name, Version: v.Version})
			}
		}
	}
	return origins
}
