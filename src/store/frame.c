#include "store/frame.h"

#include <string.h>
#include <xxhash.h>

/* Contains bytes that occur neither in JSON text nor in XDR padding. */
static const guint8 magic[8] = {0x9f, 'q', 'l', 0x00, 0xf5, 'f', 0x01, 0xff};

/* A header: magic, length of the payload, checksum. Numbers are big-endian. */
#define LENGTH_OFFSET 8
#define CHECKSUM_OFFSET 16

static uint64_t checksum(const ql_frame_position_t *position,
			 const void *payload, size_t length)
{
	uint64_t seed = XXH3_64bits_withSeed(&position->offset,
					     sizeof(position->offset),
					     position->file_number);

	return XXH3_64bits_withSeed(payload, length, seed ^ length);
}

void ql_frame_append(GByteArray *out, const ql_frame_position_t *position,
		     const void *payload, size_t length)
{
	uint64_t number;

	g_byte_array_append(out, magic, sizeof(magic));
	number = GUINT64_TO_BE((uint64_t)length);
	g_byte_array_append(out, (guint8 *)&number, sizeof(number));
	number = GUINT64_TO_BE(checksum(position, payload, length));
	g_byte_array_append(out, (guint8 *)&number, sizeof(number));
	g_byte_array_append(out, payload, (guint)length);
}

static uint64_t read_uint64(const guint8 *from)
{
	uint64_t number;

	memcpy(&number, from, sizeof(number));
	return GUINT64_FROM_BE(number);
}

bool ql_frame_read(const guint8 **payload, size_t *length,
		   const GByteArray *file, const ql_frame_position_t *position)
{
	const guint8 *frame;
	uint64_t remaining;

	if (position->offset > file->len)
		return false;
	remaining = file->len - position->offset;
	if (remaining < QL_FRAME_HEADER_BYTES)
		return false;
	frame = file->data + position->offset;
	if (memcmp(frame, magic, sizeof(magic)) != 0)
		return false;
	*length = read_uint64(frame + LENGTH_OFFSET);
	if (*length > remaining - QL_FRAME_HEADER_BYTES)
		return false;
	*payload = frame + QL_FRAME_HEADER_BYTES;
	return read_uint64(frame + CHECKSUM_OFFSET) ==
	       checksum(position, *payload, *length);
}

bool ql_frame_exists_after(const GByteArray *file,
			   const ql_frame_position_t *position)
{
	ql_frame_position_t next = {.file_number = position->file_number};
	const guint8 *payload, *found;
	size_t length;

	next.offset = position->offset + 1;
	while (next.offset < file->len) {
		found = memmem(file->data + next.offset,
			       file->len - next.offset, magic, sizeof(magic));
		if (!found)
			return false;
		next.offset = (uint64_t)(found - file->data);
		if (ql_frame_read(&payload, &length, file, &next))
			return true;
		next.offset++;
	}
	return false;
}
