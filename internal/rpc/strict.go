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

// envelopeBytes is the length of the prefix of a message on a stream.
const envelopeBytes = 5

// Strict checks the body of each request before its handler sees it: a body
// that is too long, cut off, broken or has unknown fields is answered with a
// fault. Messages gives an empty message for each procedure. Content types that
// it does not know are left to the handler.
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
			refuseBody(writer, w, r, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

type decoder func([]byte, proto.Message) error

// decoderOf returns how a content type is decoded and whether its messages
// have a length prefix.
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
		if len(body) < envelopeBytes {
			return errors.New("the body was cut off")
		}
		if body[0] != 0 {
			// Compressed or an end-of-stream message: left to the handler.
			return nil
		}
		length := binary.BigEndian.Uint32(body[1:envelopeBytes])
		if uint64(len(body)) < envelopeBytes+uint64(length) {
			return errors.New("the body was cut off")
		}
		body = body[envelopeBytes : envelopeBytes+length]
	}
	return errors.Wrap(decode(body, message.ProtoReflect().New().Interface()), "the body cannot be decoded")
}

func refuseBody(writer *connect.ErrorWriter, w http.ResponseWriter, r *http.Request, cause error) {
	err := Error(&fault.Fault{
		Kind: fault.NotRun, Code: fault.BadRequest, Message: cause.Error(),
		Remedy: "send a whole message with the fields of the API and nothing else",
	})
	// The caller may be gone; there is nobody else to tell.
	_ = writer.Write(w, r, err)
}
