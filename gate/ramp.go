package gate

import "clementinehead.example/chead/conf"

// RampLimit returns the number of requests that an endpoint may have in
// progress after it has completed done since it started.
func RampLimit(ramp conf.Ramp, done uint64) int {
	full := uint64(max(ramp.Full, ramp.Start))
	step := uint64(max(ramp.Step, 1))
	return int(min(full, uint64(ramp.Start)+done/step))
}
