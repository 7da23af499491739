// Package telemetry creates the logger and the metrics set of a process. Logs
// are JSON lines with stable keys, so that programs can search them.
package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Keys of log fields. Operators search logs by them, so they are stable.
const (
	KeyTime    = "time"
	KeyLevel   = "level"
	KeyMessage = "message"
	KeyRole    = "role"
	KeyName    = "name"
	KeyPart    = "part"
	KeyService = "service"
	KeyTarget  = "target"
	KeyPeer    = "peer"
	KeyCaller  = "caller"
	KeyClass   = "class"
	KeyVersion = "version"
	KeyHash    = "hash"
	KeyReason  = "reason"
	KeyVerdict = "verdict"
	KeyError   = "error"
	KeyFlow    = "flow"
)

// Options configures the logger of a process.
type Options struct {
	// Out receives the JSON lines.
	Out io.Writer
	// Level is debug, info, warn or error.
	Level string
	// Role and Name are added to every line.
	Role, Name string
}

// NewLogger returns a logger that writes JSON lines to o.Out.
func NewLogger(o Options) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(o.Level)
	if err != nil {
		return nil, trace.BadParameter("invalid log level: %v", err)
	}
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        KeyTime,
		LevelKey:       KeyLevel,
		MessageKey:     KeyMessage,
		NameKey:        KeyPart,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.MillisDurationEncoder,
	})
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(o.Out)), level)
	return zap.New(core).With(zap.String(KeyRole, o.Role), zap.String(KeyName, o.Name)), nil
}

// NewMetrics returns an empty metrics set. Each process and each test has its
// own set, so that processes in one test do not share counters.
func NewMetrics() *metrics.Set { return metrics.NewSet() }

// Reason returns the log field for a reason, a short and stable code such as
// "queue_full".
func Reason(reason string) zap.Field { return zap.String(KeyReason, reason) }

// Service returns the log field for the name of a service.
func Service(name string) zap.Field { return zap.String(KeyService, name) }

// Peer returns the log field for the name of another process.
func Peer(name string) zap.Field { return zap.String(KeyPeer, name) }

// Version returns the log field for a configuration version.
func Version(v uint64) zap.Field { return zap.Uint64(KeyVersion, v) }

// Error returns the log field for an error.
func Error(err error) zap.Field { return zap.NamedError(KeyError, err) }
