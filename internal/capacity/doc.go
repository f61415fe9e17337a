// Package capacity measures on one machine how cost grows with size, and works
// out the figures at the target size of docs/design.md, section 1.
//
// Each group of measurements takes at least three sizes. A least-squares line
// through them gives the slope that docs/CAPACITY.md states. Processor time is
// that of the measured process, read from /proc, because the machine is shared
// and wall time would measure its other users.
//
// The groups that need real processes start them from the same program on
// loopback and end them by their ids. This is a measuring tool: the roles
// themselves start no process.
//
// # Usage
//
//	r, err := capacity.Run(ctx, capacity.Options{Binary: exe, Folder: dir, Only: []string{"roster"}})
//	for _, m := range r.Measurements {
//		fmt.Println(m.Quantity, m.Slope, m.AtTarget)
//	}
package capacity
