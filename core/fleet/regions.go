package fleet

import (
	"net/netip"
	"slices"
)

// SetRegions sets the region of each data centre, by the names of the data centres.
// They come from the settings of the process and are not part of a delta.
func (v *View) SetRegions(regions map[string]string) { v.regions = regions }

// RegionAllowed reports whether targets of a data centre may get new flows for an
// address. If the route of the address allows only some regions, those of a data
// centre whose region is not known may not.
func (v *View) RegionAllowed(address netip.AddrPort, dataCentre string) bool {
	r := v.routes[address]
	if r == nil || len(r.AllowedRegions) == 0 {
		return true
	}
	region := v.regions[dataCentre]
	return region != "" && slices.Contains(r.AllowedRegions, region)
}
