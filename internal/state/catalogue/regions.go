package catalogue

import "slices"

// RegionLists restrict a request to regions that are in each of the lists. Without lists there is no restriction.
type RegionLists [][]string

// RestrictRegions returns the restrictions of a route and of an entry, which may be nil.
func RestrictRegions(r *Route, e *Entry) (lists RegionLists) {
	if len(r.AllowedRegions) > 0 {
		lists = append(lists, r.AllowedRegions)
	}
	if e != nil && len(e.AllowedRegions) > 0 {
		lists = append(lists, e.AllowedRegions)
	}
	return lists
}

// Allow reports whether a region is in each list.
func (l RegionLists) Allow(region string) bool {
	for _, allowed := range l {
		if !slices.Contains(allowed, region) {
			return false
		}
	}
	return true
}
