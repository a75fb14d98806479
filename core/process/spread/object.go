package spread

import (
	"time"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// maxBodyBytes limits the size of a request or response body.
const maxBodyBytes = 4 << 20

func objectToWire(obj core.Object) *wire.Object {
	w := &wire.Object{
		Kind: string(obj.Kind), Name: obj.Name, Version: obj.Version,
		Writer: obj.Writer, Nonce: obj.Nonce, Value: obj.Value, Deleted: obj.Deleted,
	}
	if obj.Deleted && !obj.DeletedAt.IsZero() {
		w.DeletedUnix = obj.DeletedAt.Unix()
	}
	return w
}

func objectsFromWire(objects []*wire.Object) []core.Object {
	return lo.Map(objects, func(w *wire.Object, _ int) core.Object {
		obj := core.Object{
			Key:     core.Key{Kind: core.Kind(w.GetKind()), Name: w.GetName()},
			Version: w.GetVersion(), Writer: w.GetWriter(), Nonce: w.GetNonce(),
			Deleted: w.GetDeleted(),
		}
		if obj.Deleted {
			if sec := w.GetDeletedUnix(); sec != 0 {
				obj.DeletedAt = time.Unix(sec, 0).UTC()
			}
		} else {
			obj.Value = w.GetValue()
		}
		return obj
	})
}

// maxEncodedSize returns an upper estimate of the encoded size of an object.
func maxEncodedSize(w *wire.Object) int {
	return len(w.GetKind()) + len(w.GetName()) + len(w.GetWriter()) + len(w.GetNonce()) + len(w.GetValue()) + 48
}

// splitBatches splits objects into batches of at most limit bytes; a larger
// object has a batch of its own.
func splitBatches(objects []*wire.Object, limit int) [][]*wire.Object {
	var out [][]*wire.Object
	start, sum := 0, 0
	for i, obj := range objects {
		if s := maxEncodedSize(obj); i > start && sum+s > limit {
			out = append(out, objects[start:i])
			start, sum = i, s
		} else {
			sum += s
		}
	}
	if start < len(objects) {
		out = append(out, objects[start:])
	}
	return out
}
