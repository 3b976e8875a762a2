package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
)

// bbolt maps its file into memory and does not check most of its content: only the two meta pages have a checksum, and
// a wrong number in any other page can crash the process or make bbolt loop forever. So the file is verified here
// before bbolt opens it: each page is visited at most once, its elements lie within the page, and its keys are in order
// and within the range that the parent page gives. A file that passes can be opened safely, and its records have
// checksums of their own.

const (
	pageBytes       = 4096 // set in bbolt.Options
	pageHeaderBytes = 16   // page number 8, flags 2, element count 2, overflow pages 4
	elementBytes    = 16   // branch: position 4, key size 4, page 8; leaf: flags 4, position 4, key size 4, value size 4
	maxDepth        = 16
	noFreelist      = ^uint64(0) // in the meta page: the freelist is not written (NoFreelistSync)

	branchFlag   = 1
	leafFlag     = 2
	metaFlag     = 4
	freelistFlag = 16
	bucketFlag   = 1 // of a leaf element

	boltMagic   = 0xED0CDAED
	boltVersion = 2
)

var errTorn = errors.New("the file ends too early")

type verifier struct {
	file      io.ReaderAt
	pageCount uint64
	visited   []bool
}

// verifyFile checks the structure of a bbolt file.
func verifyFile(file io.ReaderAt, size int64) error {
	if size < 4*pageBytes {
		return errTorn
	}
	fileVerifier := &verifier{file: file}
	var rootPage, freelistPage, latestTransaction uint64
	found := false
	for metaPage := range uint64(2) {
		page := make([]byte, pageBytes)
		if _, err := file.ReadAt(page, int64(metaPage*pageBytes)); err != nil {
			return err
		}
		meta := page[pageHeaderBytes:]
		checksum := fnv.New64a()
		checksum.Write(meta[:56])
		if binary.LittleEndian.Uint32(meta) != boltMagic || binary.LittleEndian.Uint32(meta[4:]) != boltVersion || binary.LittleEndian.Uint64(meta[56:]) != checksum.Sum64() {
			continue
		}
		if size := binary.LittleEndian.Uint32(meta[8:]); size != pageBytes {
			return fmt.Errorf("the page size is %d bytes", size)
		}
		if transaction := binary.LittleEndian.Uint64(meta[48:]); !found || transaction > latestTransaction {
			found, latestTransaction = true, transaction
			rootPage, freelistPage, fileVerifier.pageCount = binary.LittleEndian.Uint64(meta[16:]), binary.LittleEndian.Uint64(meta[32:]), binary.LittleEndian.Uint64(meta[40:])
		}
	}
	switch {
	case !found:
		return errors.New("neither meta page is valid")
	case fileVerifier.pageCount < 4 || fileVerifier.pageCount > 1<<31:
		return fmt.Errorf("the page count is %d", fileVerifier.pageCount)
	case fileVerifier.pageCount*pageBytes > uint64(size):
		return errTorn
	}
	fileVerifier.visited = make([]bool, fileVerifier.pageCount)
	fileVerifier.visited[0], fileVerifier.visited[1] = true, true
	if freelistPage != noFreelist { // a new file has an empty freelist
		page, err := fileVerifier.readPage(freelistPage)
		if err != nil {
			return err
		}
		if flags, count := flagsAndCount(page); flags != freelistFlag || count != 0 {
			return errors.New("the freelist page is not an empty freelist")
		}
	}
	return fileVerifier.verifyPage(rootPage, 0, nil, nil)
}

func flagsAndCount(page []byte) (flags, count int) {
	return int(binary.LittleEndian.Uint16(page[8:])), int(binary.LittleEndian.Uint16(page[10:]))
}

// readPage reads a page and its overflow pages.
func (v *verifier) readPage(number uint64) ([]byte, error) {
	if number < 2 || number >= v.pageCount {
		return nil, fmt.Errorf("page %d of %d", number, v.pageCount)
	}
	first := make([]byte, pageBytes)
	if _, err := v.file.ReadAt(first, int64(number*pageBytes)); err != nil {
		return nil, err
	}
	overflow := uint64(binary.LittleEndian.Uint32(first[12:]))
	if binary.LittleEndian.Uint64(first) != number || overflow >= v.pageCount-number {
		return nil, fmt.Errorf("page %d has a wrong number or too many overflow pages", number)
	}
	for i := number; i <= number+overflow; i++ {
		if v.visited[i] {
			return nil, fmt.Errorf("page %d is used twice", i)
		}
		v.visited[i] = true
	}
	if overflow == 0 {
		return first, nil
	}
	all := make([]byte, (overflow+1)*pageBytes)
	_, err := v.file.ReadAt(all, int64(number*pageBytes))
	return all, err
}

// verifyPage checks a page and all pages below it. Its keys must be at least minKey and below endKey; nil is no bound.
func (v *verifier) verifyPage(number uint64, depth int, minKey, endKey []byte) error {
	if depth > maxDepth {
		return errors.New("the tree is too deep")
	}
	page, err := v.readPage(number)
	if err != nil {
		return err
	}
	return v.verifyElements(page, depth, minKey, endKey)
}

//nolint:gocognit // to be split (docs/ROADMAP.md, readable code)
func (v *verifier) verifyElements(page []byte, depth int, minKey, endKey []byte) error {
	if len(page) < pageHeaderBytes {
		return errShort
	}
	flags, count := flagsAndCount(page)
	if flags != leafFlag && flags != branchFlag || flags == branchFlag && count == 0 || pageHeaderBytes+count*elementBytes > len(page) {
		return fmt.Errorf("a page has flags %d and %d elements", flags, count)
	}
	type child struct {
		key  []byte
		page uint64
	}
	var children []child
	previousKey := []byte(nil)
	for i := range count {
		offset := pageHeaderBytes + i*elementBytes
		element := page[offset : offset+elementBytes]
		var position, keySize, valueSize, elementFlags uint64
		if flags == branchFlag {
			position, keySize = uint64(binary.LittleEndian.Uint32(element)), uint64(binary.LittleEndian.Uint32(element[4:]))
		} else {
			elementFlags, position = uint64(binary.LittleEndian.Uint32(element)), uint64(binary.LittleEndian.Uint32(element[4:]))
			keySize, valueSize = uint64(binary.LittleEndian.Uint32(element[8:])), uint64(binary.LittleEndian.Uint32(element[12:]))
		}
		if position += uint64(offset); position < uint64(pageHeaderBytes+count*elementBytes) || keySize == 0 || position+keySize+valueSize > uint64(len(page)) {
			return errors.New("an element lies outside its page")
		}
		key, value := page[position:position+keySize], page[position+keySize:position+keySize+valueSize]
		if i > 0 && bytes.Compare(previousKey, key) >= 0 || i == 0 && minKey != nil && flags == leafFlag && bytes.Compare(key, minKey) < 0 || endKey != nil && bytes.Compare(key, endKey) >= 0 {
			return errors.New("keys are not in order")
		}
		previousKey = key
		switch {
		case flags == branchFlag:
			children = append(children, child{key, binary.LittleEndian.Uint64(element[8:])})
		case elementFlags == bucketFlag:
			if err := v.verifyBucket(value, depth); err != nil {
				return err
			}
		case elementFlags != 0:
			return fmt.Errorf("an element has flags %d", elementFlags)
		}
	}
	for i, node := range children {
		childMin, childEnd := node.key, endKey
		if i == 0 {
			childMin = minKey // bbolt also looks up keys below the first separator in the first child
		}
		if i+1 < len(children) {
			childEnd = children[i+1].key
		}
		if err := v.verifyPage(node.page, depth+1, childMin, childEnd); err != nil {
			return err
		}
	}
	return nil
}

// verifyBucket checks a bucket, which has a root page of its own or, if it is small, is stored inline in its value.
func (v *verifier) verifyBucket(value []byte, depth int) error {
	if len(value) < 16 || depth > maxDepth {
		return errShort
	}
	if rootPage := binary.LittleEndian.Uint64(value); rootPage != 0 {
		return v.verifyPage(rootPage, depth+1, nil, nil)
	}
	if page := value[16:]; len(page) >= pageHeaderBytes {
		if flags, _ := flagsAndCount(page); flags != leafFlag {
			return fmt.Errorf("an inline bucket has flags %d", flags)
		}
	}
	return v.verifyElements(value[16:], depth+1, nil, nil)
}
