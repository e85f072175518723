// Package recording writes, reads and replays recordings of the reducer: a header line,
// then one JSON line for each event with its effects.
package recording

import (
	"bufio"
	"encoding/json"
	"io"
	"reflect"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/reducer"
)

// Header is the first line of a recording.
type Header struct {
	Config reducer.Config `json:"config"`
}

// Step is one event with its effects.
type Step struct {
	Now     model.Instant `json:"now"`
	UnixMs  int64         `json:"unix_ms"`
	Event   Message       `json:"event"`
	Effects []Message     `json:"effects"`
}

// Message is an encoded event or effect with the name of its Go type.
type Message struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

var eventTypes = indexTypes(
	event.Tick{}, event.NodeStarted{}, event.ShutdownRequested{}, event.RequestArrived{}, event.CallerGone{},
	event.TokenArrived{}, event.StreamHeartbeat{}, event.StreamBroken{}, event.CallArrived{}, event.CallAnswered{},
	event.CallCut{}, event.TransactionDone{}, event.TransactionUnknown{}, event.RowsRead{}, event.ReadFailed{},
	event.ObjectRead{}, event.ObjectWritten{}, event.VMsListed{}, event.EngineReported{}, event.TargetLost{},
	event.OrderAnswered{}, event.ChangeProposed{}, event.DrainRequested{}, event.PeerHeartbeatReceived{},
	event.PeerUnreachable{}, event.SettingsRequested{}, event.SettingsOffered{},
)

func indexTypes(examples ...any) map[string]reflect.Type {
	index := make(map[string]reflect.Type, len(examples))
	for _, example := range examples {
		index[reflect.TypeOf(example).Name()] = reflect.TypeOf(example)
	}
	return index
}

// Encode encodes an event or effect together with the name of its type.
func Encode(value any) (Message, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Message{}, errors.Wrapf(err, "encode %T", value)
	}
	valueType := reflect.TypeOf(value)
	if valueType.Kind() == reflect.Pointer {
		valueType = valueType.Elem()
	}
	return Message{Type: valueType.Name(), Body: body}, nil
}

// DecodeEvent decodes an event: TokenArrived to a pointer, other events to a value.
func DecodeEvent(message Message) (event.Event, error) {
	eventType, ok := eventTypes[message.Type]
	if !ok {
		return nil, errors.Newf("unknown event type %q; the recording was written by another version", message.Type)
	}
	value := reflect.New(eventType)
	if err := json.Unmarshal(message.Body, value.Interface()); err != nil {
		return nil, errors.Wrapf(err, "decode event %s", message.Type)
	}
	if ev, ok := value.Interface().(*event.TokenArrived); ok {
		return ev, nil
	}
	return value.Elem().Interface().(event.Event), nil
}

// Writer writes the steps of a recording.
type Writer struct{ encoder *json.Encoder }

// NewWriter writes the header and returns a writer.
func NewWriter(w io.Writer, header Header) (*Writer, error) {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(header); err != nil {
		return nil, errors.Wrap(err, "write recording header")
	}
	return &Writer{encoder: encoder}, nil
}

// Write writes one step.
func (w *Writer) Write(now model.Instant, unixMs int64, ev event.Event, effects []event.Effect) error {
	step, err := NewStep(now, unixMs, ev, effects)
	if err != nil {
		return err
	}
	return errors.Wrap(w.encoder.Encode(step), "write recording step")
}

// NewStep encodes an event and its effects as a step.
func NewStep(now model.Instant, unixMs int64, ev event.Event, effects []event.Effect) (Step, error) {
	message, err := Encode(ev)
	if err != nil {
		return Step{}, err
	}
	step := Step{Now: now, UnixMs: unixMs, Event: message}
	for _, effect := range effects {
		encoded, err := Encode(effect)
		if err != nil {
			return Step{}, err
		}
		step.Effects = append(step.Effects, encoded)
	}
	return step, nil
}

// maxLineBytes limits the length of a line of a recording.
const maxLineBytes = 16 << 20

// Read returns the header and steps of a recording.
func Read(r io.Reader) (Header, []Step, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var header Header
	if !scanner.Scan() {
		return header, nil, errors.New("the recording is empty")
	}
	if err := json.Unmarshal(scanner.Bytes(), &header); err != nil {
		return header, nil, errors.Wrap(err, "decode recording header")
	}
	var steps []Step
	for scanner.Scan() {
		var step Step
		if err := json.Unmarshal(scanner.Bytes(), &step); err != nil {
			return header, nil, errors.Wrapf(err, "decode recording step %d", len(steps)+1)
		}
		steps = append(steps, step)
	}
	return header, steps, errors.Wrap(scanner.Err(), "read recording")
}

// Difference is a step whose replayed effects differ from those recorded; steps are
// counted from 1.
type Difference struct {
	Step     int
	Event    Message
	Recorded []Message
	Replayed []Message
}

// Replay applies the steps to a new state and returns the steps whose effects differ.
func Replay(header Header, steps []Step) ([]Difference, error) {
	state := reducer.New(header.Config)
	var differences []Difference
	for i, step := range steps {
		ev, err := DecodeEvent(step.Event)
		if err != nil {
			return nil, errors.Wrapf(err, "step %d", i+1)
		}
		replayed, err := NewStep(step.Now, step.UnixMs, ev, state.Reduce(step.Now, step.UnixMs, ev))
		if err != nil {
			return nil, err
		}
		if !reflect.DeepEqual(step.Effects, replayed.Effects) {
			differences = append(differences, Difference{Step: i + 1, Event: step.Event, Recorded: step.Effects, Replayed: replayed.Effects})
		}
	}
	return differences, nil
}
