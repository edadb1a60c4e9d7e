package conf

// Document is the operators' configuration. Each field is a section, and each
// section belongs to one team. The zero value is a valid, empty document.
type Document struct {
	Models    map[string]Model    `json:"models,omitempty"`
	Groups    map[string]Group    `json:"groups,omitempty"`
	Capacity  Capacity            `json:"capacity,omitzero"`
	Accounts  map[string]Account  `json:"accounts,omitempty"`
	Domains   map[string]Domain   `json:"domains,omitempty"`
	Instances map[string]Instance `json:"instances,omitempty"`
	Services  map[string]Service  `json:"services,omitempty"`
	Limits    Limits              `json:"limits,omitzero"`
}

// Model is a model that endpoints can load.
type Model struct {
	Versions []string `json:"versions"`           // at least one
	Adapters []string `json:"adapters,omitempty"` // optional; the model can also be served without an adapter
	Gigabyte float64  `json:"gigabyte"`           // size of the weights of one replica, GB
}

// Group is a model group: a number of replicas, of Size instances each, that
// serve a version of a model, with or without an adapter, to client accounts.
// Callers refer to the group by its key or by its model.
type Group struct {
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter,omitempty"`
	Version  string   `json:"version"`
	Size     int      `json:"size"`     // instances per replica, 1 to MaxSize
	Replicas int      `json:"replicas"` // wanted number
	Accounts []string `json:"accounts"` // keys of the accounts section
	Priority int      `json:"priority,omitempty"`
}

// Capacity holds the limits for placing and starting replicas.
type Capacity struct {
	Spread int  `json:"spread,omitempty"` // smallest number of failure domains that a group should span
	Loads  int  `json:"loads,omitempty"`  // replicas that may load weights at the same time, over all groups
	Spares int  `json:"spares,omitempty"` // instances to keep without a replica in each fabric domain
	Ramp   Ramp `json:"ramp,omitzero"`
}

// Ramp is the slow start of an endpoint: the limit on its requests in progress
// as a function of the requests that it has completed since it started.
type Ramp struct {
	Start int `json:"start,omitempty"` // initial limit
	Step  int `json:"step,omitempty"`  // completed requests that raise the limit by one
	Full  int `json:"full,omitempty"`  // limit of a warm endpoint
}

// Account is a client account.
type Account struct {
	Keys     []string `json:"keys"`               // SHA-256 of each bearer key, hexadecimal
	Weight   float64  `json:"weight,omitempty"`   // relative share when capacity is short
	Rate     float64  `json:"rate,omitempty"`     // requests per second, 0 for no limit
	Burst    int      `json:"burst,omitempty"`    // requests allowed at once above the rate
	Inflight int      `json:"inflight,omitempty"` // requests in progress per replica, 0 for no limit
	Priority int      `json:"priority,omitempty"` // highest priority that its requests may have
}

// Domain is a failure domain.
type Domain struct {
	Region string `json:"region"`
	Out    bool   `json:"out,omitempty"` // taken out of service
}

// Instance holds the operators' settings for one endpoint instance.
type Instance struct {
	Out bool `json:"out,omitempty"` // taken out of service
}

// Service is an HTTP service that is not a model engine.
type Service struct {
	Addresses []string `json:"addresses"` // host:port
	Accounts  []string `json:"accounts"`
	Once      bool     `json:"once,omitempty"` // calls are not repeatable unless the caller states otherwise
	Timeout   Duration `json:"timeout,omitempty"`
	Inflight  int      `json:"inflight,omitempty"` // calls in progress per daemon and address
}

// Limits are the limits on requests.
type Limits struct {
	Body    int64    `json:"body,omitempty"`    // bytes
	Tokens  int      `json:"tokens,omitempty"`  // per request
	Request Duration `json:"request,omitempty"` // from acceptance to the last byte
	First   Duration `json:"first,omitempty"`   // from dispatch to the first byte
	Gap     Duration `json:"gap,omitempty"`     // between bytes of a stream
	Queue   int      `json:"queue,omitempty"`   // requests waiting at one gate
	Wait    Duration `json:"wait,omitempty"`    // longest wait at a gate
	Retries float64  `json:"retries,omitempty"` // retries allowed for each request of an account, 0 to 1
	Window  Duration `json:"window,omitempty"`  // how long the record of a not-repeatable request is kept
	Entries Duration `json:"entries,omitempty"` // how long a response of /v1/entries is valid
}
