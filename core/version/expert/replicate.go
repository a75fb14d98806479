package expert

import "container/heap"

// replicate returns the number of replicas of each expert. Each expert gets one,
// and each further slot goes to the expert with the largest replica that is not
// yet on all ranks. This minimizes the largest replica.
func replicate(load []float64, ranks, slots int) []int {
	n := make([]int, len(load))
	h := &replicaHeap{load: load, n: n, experts: make([]int, 0, len(load))}
	for e := range n {
		n[e] = 1
		if ranks > 1 {
			h.experts = append(h.experts, e)
		}
	}
	heap.Init(h)
	for free := slots - len(load); free > 0 && h.Len() > 0; free-- {
		e := h.experts[0]
		n[e]++
		if n[e] == ranks {
			heap.Pop(h)
		} else {
			heap.Fix(h, 0)
		}
	}
	return n
}

// replicaHeap is a heap of experts with the largest replica on top. Among equal
// replicas the expert with the fewest replicas comes first, so that experts
// without load share the slots evenly.
type replicaHeap struct {
	load    []float64
	n       []int
	experts []int
}

func (h *replicaHeap) Len() int { return len(h.experts) }

func (h *replicaHeap) Less(i, j int) bool {
	a, b := h.experts[i], h.experts[j]
	x, y := h.load[a]/float64(h.n[a]), h.load[b]/float64(h.n[b])
	if x != y {
		return x > y
	}
	if h.n[a] != h.n[b] {
		return h.n[a] < h.n[b]
	}
	return a < b
}

func (h *replicaHeap) Swap(i, j int) { h.experts[i], h.experts[j] = h.experts[j], h.experts[i] }

// Push implements heap.Interface; it is never called.
func (h *replicaHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *replicaHeap) Pop() any {
	last := len(h.experts) - 1
	e := h.experts[last]
	h.experts = h.experts[:last]
	return e
}
