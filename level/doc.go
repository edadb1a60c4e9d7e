// Package level divides requests among endpoints whose loads are known with a delay.
//
// Many daemons that send to the endpoint with the least load that they know of overload
// it until they hear of each other's requests. Fill expects the requests that have come
// since the loads were reported, and divides them so that all endpoints reach the same
// level, as in Dahlin, "Interpreting Stale Load Information", IEEE TPDS 11(10), 2000.
// Without such requests all go to the endpoint with the lowest level; the more there are,
// the less the differences between the reported loads count.
//
// The functions are pure. Package pick says what a level is, and which endpoints may take
// a request at all.
package level
