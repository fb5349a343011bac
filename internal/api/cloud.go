package api

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name        string   `json:"Label"`
	CPUs        float64  `json:"Vcpus"`
	GPUs        float64  `json:"Accelerators"`
	MemoryGB    float64  `json:"MemoryGb"`
	CacheGB     float64  `json:"LocalGb"`     // disk space for cached images
	FetchGBPerS float64  `json:"FetchGbPerS"` // rate at which images are fetched
	Price       float64  `json:"Price"`
	SpotPrice   float64  `json:"MarketPrice"`
	BootS       float64  `json:"BootS"`
	Zones       []string `json:"Zonas"`
}

// Catalog lists the machine types that the cloud offers.
type Catalog struct {
	Types []MachineType `json:"Tipos"`
}

// LaunchRequest requests machines from the cloud. It is idempotent: the cloud executes
// requests of the same name once, however often they are sent.
type LaunchRequest struct {
	Name  string `json:"Pedido"`
	Type  string `json:"Tipo"`
	Zone  string `json:"Zona"`
	Spot  bool   `json:"Prestadas"`
	Count int    `json:"HowMany"`
}

// InstanceNames lists machines by name: those that were launched, or that are to be deleted.
type InstanceNames struct {
	Machines []string `json:"Maquinas"`
}

// InstanceState is the state of a machine in the cloud's list.
type InstanceState string

// States of machines; the values are the protocol's.
const (
	InstanceBooting InstanceState = "starting"
	InstanceRunning InstanceState = "running"
	InstanceFailed  InstanceState = "failed"
)

// Instance is a machine in the cloud's list.
type Instance struct {
	ID      string        `json:"Id"`
	Address string        `json:"Endpoint"`
	Type    string        `json:"Tipo"`
	Zone    string        `json:"Zona"`
	Spot    bool          `json:"Prestadas"`
	State   InstanceState `json:"Estado"`
	AgeS    float64       `json:"AgeS"`
}

// InstancePage is a page of the cloud's list.
type InstancePage struct {
	Instances []Instance `json:"Maquinas"`
	More      bool       `json:"Truncated"` // further pages follow
}
