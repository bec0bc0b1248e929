package fleetconfig

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Size is a number of bytes, written with its unit, such as "64KiB".
type Size int64

// Rate is a number per second, written with its unit, such as "100/s" or "6000/min".
type Rate float64

// ByteRate is a number of bytes per second, written with its unit, such as "64MiB/s".
type ByteRate int64

type sizeUnit struct {
	name  string
	bytes int64
}

// sizeUnits is sorted from the largest unit to the smallest, so that String finds the
// largest unit that divides a size. It has no decimal units, because "1MB" is
// ambiguous: some readers take it for 10^6 bytes and others for 2^20.
var sizeUnits = []sizeUnit{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

const (
	perSecond = "/s"
	perMinute = "/min"
)

var (
	errDuration = errors.New(`want a duration with its unit, such as "2s", "250ms" or "10m"`)
	errSize     = errors.New(`want a size with its unit (B, KiB, MiB or GiB), such as "64KiB"`)
	errRate     = errors.New(`want a rate with its unit (/s or /min), such as "100/s"`)
	errByteRate = errors.New(`want a byte rate with its unit, such as "64MiB/s"`)
)

// ParseSize parses a size such as "64KiB".
func ParseSize(s string) (Size, error) {
	for _, u := range sizeUnits {
		num, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(num, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			return 0, errSize
		}
		return Size(n * u.bytes), nil
	}
	return 0, errSize
}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s != 0 && int64(s)%u.bytes == 0 {
			return fmt.Sprintf("%d%s", int64(s)/u.bytes, u.name)
		}
	}
	return "0B"
}

// ParseRate parses a rate such as "100/s".
func ParseRate(s string) (Rate, error) {
	num, ok := strings.CutSuffix(s, perSecond)
	divisor := 1.0
	if !ok {
		num, ok = strings.CutSuffix(s, perMinute)
		divisor = time.Minute.Seconds()
	}
	if !ok {
		return 0, errRate
	}
	n, err := strconv.ParseFloat(num, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, errRate
	}
	return Rate(n / divisor), nil
}

// String returns the rate per second.
func (r Rate) String() string {
	return strconv.FormatFloat(float64(r), 'g', -1, 64) + perSecond
}

// ParseByteRate parses a byte rate such as "64MiB/s".
func ParseByteRate(s string) (ByteRate, error) {
	num, ok := strings.CutSuffix(s, perSecond)
	if !ok {
		return 0, errByteRate
	}
	n, err := ParseSize(num)
	if err != nil {
		return 0, errByteRate
	}
	return ByteRate(n), nil
}

// String returns the byte rate in the largest unit that divides it.
func (r ByteRate) String() string { return Size(r).String() + perSecond }

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, errDuration
	}
	if s == "0" {
		return 0, errDuration
	}
	return d, nil
}
