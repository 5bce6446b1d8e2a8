package engine

// OrderKind is the type of an order.
type OrderKind uint8

// The kinds of order.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderThrottle
)

// Order is a call to be sent to a worker.
type Order struct {
	Kind       OrderKind
	Task       TaskID
	Run        int64
	Worker     Target
	Payload    string
	DeadlineMS int64
	Checkpoint string
	Ticket     string
	Percent    int64
}

// TakeOrders returns the orders to be sent now.
func (p *Pool) TakeOrders() []Order {
	o := p.orders
	p.orders = nil
	return o
}

// orderStop orders a worker to stop a run.
func (p *Pool) orderStop(run runID, w *Worker) {
	p.orders = append(p.orders, Order{Kind: OrderStop, Task: run.task, Run: run.run, Worker: w.target()})
}
