#include "store/frame_file.h"
#include "quetzalloft/error.h"
#include "store/frame.h"

/* Added to the name of the file while it is written anew. */
#define REPLACEMENT_SUFFIX ".new"

int ql_frame_file_read(ql_frame_file_t *file, GPtrArray *payloads,
		       GError **error)
{
	GByteArray *content = g_byte_array_new();
	ql_frame_position_t position = {0};
	const guint8 *payload;
	size_t length;
	int ret = file->disk.ops->read(file->disk.data, file->name, content,
				       error);

	if (ret == QL_E_NOT_FOUND) {
		g_clear_error(error);
		ret = 0;
	}
	while (!ret && ql_frame_read(&payload, &length, content, &position)) {
		g_ptr_array_add(payloads, g_bytes_new(payload, length));
		position.offset += QL_FRAME_HEADER_BYTES + length;
	}
	file->bytes = position.offset;
	g_byte_array_unref(content);
	return ret;
}

/* Returns the frames of payloads, the first of which is at @offset. */
static GByteArray *make_frames(const GPtrArray *payloads, uint64_t offset)
{
	GByteArray *frames = g_byte_array_new();
	ql_frame_position_t position = {0};
	const void *payload;
	gsize length;
	guint i;

	for (i = 0; i < payloads->len; i++) {
		payload = g_bytes_get_data(payloads->pdata[i], &length);
		position.offset = offset + frames->len;
		ql_frame_append(frames, &position, payload, length);
	}
	return frames;
}

int ql_frame_file_append(ql_frame_file_t *file, const GPtrArray *payloads,
			 GError **error)
{
	const ql_disk_t *disk = &file->disk;
	GByteArray *frames = make_frames(payloads, file->bytes);
	int ret = disk->ops->append(disk->data, file->name, frames->data,
				    frames->len, error);

	if (!ret)
		ret = disk->ops->sync(disk->data, file->name, error);
	if (!ret)
		file->bytes += frames->len;
	g_byte_array_unref(frames);
	return ret;
}

/* Writes the replacement, of which an earlier one may have left a part. */
static int write_replacement(const ql_disk_t *disk, const char *name,
			     const GByteArray *frames, GError **error)
{
	int ret = disk->ops->remove(disk->data, name, error);

	if (ret == QL_E_NOT_FOUND) {
		g_clear_error(error);
		ret = 0;
	}
	if (!ret)
		ret = disk->ops->append(disk->data, name, frames->data,
					frames->len, error);
	return ret ? ret : disk->ops->sync(disk->data, name, error);
}

int ql_frame_file_replace(ql_frame_file_t *file, const GPtrArray *payloads,
			  GError **error)
{
	const ql_disk_t *disk = &file->disk;
	GByteArray *frames = make_frames(payloads, 0);
	char *name = g_strconcat(file->name, REPLACEMENT_SUFFIX, NULL);
	int ret = write_replacement(disk, name, frames, error);

	if (!ret)
		ret = disk->ops->rename(disk->data, name, file->name, error);
	if (!ret)
		ret = disk->ops->sync_folder(disk->data, error);
	if (!ret)
		file->bytes = frames->len;
	g_free(name);
	g_byte_array_unref(frames);
	return ret;
}
