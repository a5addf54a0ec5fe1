package demand

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Classes are counts by urgency, in order. On the wire they are one list of numbers: with a
// list for each class, reports of 390 daemons would exceed their budget.
type Classes []ClassUsage

const (
	classNumbers = 5
	// maxClasses bounds what is read from the wire: there are ten urgencies.
	maxClasses = 10
)

// EncodeMsgpack writes the numbers of all classes.
func (c Classes) EncodeMsgpack(e *msgpack.Encoder) error {
	err := e.EncodeArrayLen(classNumbers * len(c))
	for _, u := range c {
		for _, n := range [...]int{u.Urgency, u.Running, u.Waiting, u.RunningWork, u.WaitingWork} {
			if err == nil {
				err = e.EncodeInt(int64(n))
			}
		}
	}
	return errors.Wrap(err, "encode classes")
}

// DecodeMsgpack reads the numbers of all classes.
func (c *Classes) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return errors.Wrap(err, "decode classes")
	}
	*c = nil
	if n <= 0 {
		return nil
	}
	if n%classNumbers != 0 || n > classNumbers*maxClasses {
		return errors.Errorf("decode classes: %d numbers", n)
	}
	for range n / classNumbers {
		var u ClassUsage
		for _, field := range [...]*int{&u.Urgency, &u.Running, &u.Waiting, &u.RunningWork, &u.WaitingWork} {
			if *field, err = d.DecodeInt(); err != nil {
				return errors.Wrap(err, "decode classes")
			}
		}
		*c = append(*c, u)
	}
	return nil
}
