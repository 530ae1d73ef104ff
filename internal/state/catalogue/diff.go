package catalogue

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change describes one difference between two catalogues for the operator.
type Change struct {
	// Action is added, changed or removed.
	Action string `json:"action"`
	// Object is entry, upstream or engine order.
	Object string `json:"object"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	line := fmt.Sprintf("%s %s %s", c.Action, c.Object, c.Name)
	if c.Detail != "" {
		line += ": " + c.Detail
	}
	return line
}

// Delta is the set of upserts and removals that turns one catalogue into another.
type Delta struct {
	Upserts             Catalogue
	RemovedEntries      []string
	RemovedUpstreams    []string
	RemovedEngineOrders []string
	// Changes describes the same differences for the operator.
	Changes []Change
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Changes) == 0 }

// Diff returns the delta from one catalogue to another.
func Diff(from, to Catalogue) Delta {
	var d Delta
	d.Upserts.Entries, d.RemovedEntries = diffList(&d, "entry", from.Entries, to.Entries,
		func(e Entry) string { return e.Name })
	d.Upserts.Upstreams, d.RemovedUpstreams = diffList(&d, "upstream", from.Upstreams, to.Upstreams,
		func(u Upstream) string { return u.Name })
	d.Upserts.EngineOrders, d.RemovedEngineOrders = diffList(&d, "engine order", from.EngineOrders, to.EngineOrders,
		func(o EngineOrder) string { return o.Name })
	return d
}

func diffList[T any](d *Delta, object string, from, to []T, name func(T) string) (upserts []T, removed []string) {
	old := make(map[string]T, len(from))
	for _, v := range from {
		old[name(v)] = v
	}
	for _, v := range sortedBy(to, name) {
		before, existed := old[name(v)]
		delete(old, name(v))
		switch fields := changedFields(before, v); {
		case !existed:
			d.Changes = append(d.Changes, Change{Action: "added", Object: object, Name: name(v)})
		case len(fields) > 0:
			d.Changes = append(d.Changes, Change{
				Action: "changed", Object: object, Name: name(v), Detail: strings.Join(fields, ", "),
			})
		default:
			continue
		}
		upserts = append(upserts, v)
	}
	removed = slices.Sorted(maps.Keys(old))
	for _, n := range removed {
		d.Changes = append(d.Changes, Change{Action: "removed", Object: object, Name: n})
	}
	return upserts, removed
}

func sortedBy[T any](list []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(list), func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

// changedFields returns the YAML keys of the fields that differ. An empty list equals a missing one.
func changedFields[T any](a, b T) []string {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	var fields []string
	for i := range va.NumField() {
		fa, fb := va.Field(i), vb.Field(i)
		if fa.Kind() == reflect.Slice && fa.Len() == 0 && fb.Len() == 0 {
			continue
		}
		if !reflect.DeepEqual(fa.Interface(), fb.Interface()) {
			key, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("yaml"), ",")
			fields = append(fields, key)
		}
	}
	return fields
}
