package expert

import "parsleyroute.example/core"

// Static keeps the current map. It is the baseline without rebalancing.
type Static struct{}

// Place implements core.Placer.
func (Static) Place(*core.ExpertMap, core.ExpertLoad) *core.ExpertMap { return nil }
