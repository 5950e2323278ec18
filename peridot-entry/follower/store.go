package follower

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/peridot-entry/followerpb"
)

const (
	fileName  = "configuration"
	newSuffix = ".new"
	fileMode  = 0o600
	dirMode   = 0o700
	crcBytes  = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// save replaces the stored configuration by d and the list of evacuated zones and syncs it to disk. The file holds a CRC-32C checksum,
// then the message.
func (f *Follower) save(d *followerpb.Documents) (err error) {
	defer func() { err = errors.WithMessage(err, "save configuration") }()
	if err = os.MkdirAll(f.cfg.Dir, dirMode); err != nil {
		return err
	}
	payload, err := proto.Marshal(f.withEvacuation(d))
	if err != nil {
		return err
	}
	buf := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(payload, castagnoli))
	path := filepath.Join(f.cfg.Dir, fileName)
	if err = writeFileSync(path+newSuffix, append(buf, payload...)); err != nil {
		return err
	}
	if err = os.Rename(path+newSuffix, path); err != nil {
		return err
	}
	dir, err := os.Open(f.cfg.Dir)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func writeFileSync(path string, buf []byte) (err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	if _, err = file.Write(buf); err != nil {
		return err
	}
	return file.Sync()
}

// load reads the stored configuration. It is unconfirmed until control or other entries confirm it.
func (f *Follower) load() (err error) {
	defer func() { err = errors.WithMessage(err, "load configuration") }()
	buf, err := os.ReadFile(filepath.Join(f.cfg.Dir, fileName))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(buf) < crcBytes || crc32.Checksum(buf[crcBytes:], castagnoli) != binary.LittleEndian.Uint32(buf) {
		return errors.New("checksum mismatch")
	}
	d := &followerpb.Documents{}
	if err = proto.Unmarshal(buf[crcBytes:], d); err != nil {
		return err
	}
	parsed, err := f.parse(d)
	if err != nil {
		return err
	}
	f.evacuation.Store(&evacuation{d.EvacuatedVersion, d.EvacuatedZones})
	f.current.Store(&configuration{parsed, d})
	return nil
}
