package rpc

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"tamarackreach/internal/fault"
)

// envelopePrefixBytes is the length of the prefix of a message on a stream: one
// byte of flags and four of length.
const envelopePrefixBytes = 5

// Strict validates the body of each request before it calls the handler. A body
// that is over maxBytes, truncated or malformed, or has unknown JSON fields, is
// rejected with a fault. messages has an empty message for each procedure;
// requests for other procedures, of other content types or with a content
// encoding are passed on without validation.
func Strict(next http.Handler, maxBytes int64, messages map[string]proto.Message) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message, known := messages[r.URL.Path]
		decode, enveloped := decoderOf(r.Header.Get("Content-Type"))
		if !known || decode == nil || r.Header.Get("Content-Encoding") != "" {
			next.ServeHTTP(w, r)
			return
		}
		body, err := readBody(r.Body, maxBytes)
		if err == nil {
			err = checkBody(body, enveloped, decode, message)
		}
		if err != nil {
			rejectBody(writer, w, r, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

type decoder func([]byte, proto.Message) error

// decoderOf returns the decoder of a content type, nil if it is unknown, and
// whether its messages have an envelope prefix.
func decoderOf(contentType string) (decode decoder, enveloped bool) {
	mediaType, _, _ := strings.Cut(contentType, ";")
	switch mediaType {
	case "application/json":
		return protojson.Unmarshal, false
	case "application/proto":
		return proto.Unmarshal, false
	case "application/connect+json":
		return protojson.Unmarshal, true
	case "application/connect+proto":
		return proto.Unmarshal, true
	}
	return nil, false
}

func readBody(body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "the body was cut off")
	}
	if int64(len(data)) > maxBytes {
		return nil, errors.Newf("the body has over %d bytes", maxBytes)
	}
	return data, nil
}

func checkBody(body []byte, enveloped bool, decode decoder, message proto.Message) error {
	if enveloped {
		if len(body) < envelopePrefixBytes {
			return errors.New("the body was cut off")
		}
		if body[0] != 0 {
			// Compressed or an end-of-stream message; the handler checks it.
			return nil
		}
		length := binary.BigEndian.Uint32(body[1:envelopePrefixBytes])
		if uint64(len(body)) < envelopePrefixBytes+uint64(length) {
			return errors.New("the body was cut off")
		}
		body = body[envelopePrefixBytes : envelopePrefixBytes+length]
	}
	return errors.Wrap(decode(body, message.ProtoReflect().New().Interface()), "the body cannot be decoded")
}

func rejectBody(writer *connect.ErrorWriter, w http.ResponseWriter, r *http.Request, cause error) {
	err := Error(&fault.Fault{
		Kind: fault.NotRun, Code: fault.BadRequest, Message: cause.Error(),
		Remedy: "send a whole message with the fields of the API and nothing else",
	})
	// A write fails only if the caller has disconnected, so its error is ignored.
	_ = writer.Write(w, r, err)
}
