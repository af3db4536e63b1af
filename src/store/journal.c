#include "store/journal.h"
#include "quetzalloft/error.h"
#include "store/frame.h"
#include "store/journal_codec.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define SEGMENT_PREFIX "log-"
#define SEGMENT_FORMAT SEGMENT_PREFIX "%016" PRIx64
#define SEGMENT_NAME_MAX 32
#define SNAPSHOT_NAME "snapshot"
#define SNAPSHOT_NEW_NAME "snapshot.new"
/* File number of the snapshot; the numbers of segments start at 1. */
#define SNAPSHOT_FILE_NUMBER 0

/* A segment while it is loaded; @position is that of the next frame. */
typedef struct {
	char name[SEGMENT_NAME_MAX];
	GByteArray *bytes;
	ql_frame_position_t position;
	bool is_last;
} segment_t;

static void segment_name(char *out, uint64_t segment)
{
	g_snprintf(out, SEGMENT_NAME_MAX, SEGMENT_FORMAT, segment);
}

static int corrupt(const char *name, uint64_t offset, const char *detail,
		   GError **error)
{
	return ql_error_set(error, QL_E_CORRUPT,
			    "file %s, offset %" PRIu64 ": %s", name, offset,
			    detail);
}

static int read_file(ql_journal_t *journal, const char *name, GByteArray *bytes,
		     GError **error)
{
	int ret =
		journal->disk.ops->read(journal->disk.data, name, bytes, error);

	journal->bytes_read += bytes->len;
	return ret;
}

static void clear_entry(void *data)
{
	ql_journal_entry_t *entry = data;

	g_bytes_unref(entry->payload);
}

static void init_empty(ql_journal_t *journal, const ql_disk_t *disk)
{
	memset(journal, 0, sizeof(*journal));
	journal->disk = *disk;
	journal->entries =
		g_array_new(FALSE, FALSE, sizeof(ql_journal_entry_t));
	g_array_set_clear_func(journal->entries, clear_entry);
}

void ql_journal_finish(ql_journal_t *journal)
{
	g_array_unref(journal->entries);
	g_clear_pointer(&journal->snapshot.data, g_bytes_unref);
}

static uint64_t last_index(const ql_journal_t *journal)
{
	return journal->base_index + journal->entries->len;
}

/*
 * Appends a loaded entry, which replaces the entries of its index and higher
 * ones. Returns false if it does not follow the entries before it.
 */
static bool apply_entry(ql_journal_t *journal, const ql_journal_entry_t *entry)
{
	if (entry->index <= journal->base_index ||
	    entry->index > last_index(journal) + 1)
		return false;
	g_array_set_size(journal->entries,
			 (guint)(entry->index - journal->base_index - 1));
	g_array_append_val(journal->entries, *entry);
	g_bytes_ref(entry->payload);
	return true;
}

static int apply_frame(ql_journal_t *journal, const segment_t *segment,
		       const ql_journal_frame_t *frame, GError **error)
{
	uint64_t offset = segment->position.offset;
	guint i;

	if (frame->restart != !offset)
		return corrupt(segment->name, offset,
			       "only the first frame of a file starts a log",
			       error);
	if (frame->restart) {
		g_array_set_size(journal->entries, 0);
		journal->base_index = frame->base_index;
		journal->base_term = frame->base_term;
	}
	for (i = 0; i < frame->entries->len; i++)
		if (!apply_entry(journal,
				 &g_array_index(frame->entries,
						ql_journal_entry_t, i)))
			return corrupt(segment->name, offset,
				       "the index of an entry is out of range",
				       error);
	journal->state = frame->state;
	return 0;
}

/* Skips a write that a crash interrupted, and that was never confirmed. */
static void skip_torn_tail(ql_journal_t *journal, const segment_t *segment)
{
	journal->bytes_cut += segment->bytes->len - segment->position.offset;
}

/* Loads the next frame of a segment; sets @end if there is none. */
static int load_frame(ql_journal_t *journal, segment_t *segment, bool *end,
		      GError **error)
{
	ql_journal_frame_t frame;
	const guint8 *payload;
	size_t length;
	int ret;

	*end = segment->position.offset == segment->bytes->len &&
	       segment->position.offset;
	if (*end)
		return 0;
	if (!ql_frame_read(&payload, &length, segment->bytes,
			   &segment->position)) {
		if (!segment->is_last ||
		    ql_frame_exists_after(segment->bytes, &segment->position))
			return corrupt(segment->name, segment->position.offset,
				       "the checksum does not match", error);
		*end = true;
		skip_torn_tail(journal, segment);
		return 0;
	}
	if (!ql_journal_frame_decode(&frame, payload, length))
		return corrupt(segment->name, segment->position.offset,
			       "the frame cannot be decoded", error);
	ret = apply_frame(journal, segment, &frame, error);
	ql_journal_frame_finish(&frame);
	segment->position.offset += QL_FRAME_HEADER_BYTES + length;
	return ret;
}

static int load_segment(ql_journal_t *journal, uint64_t number, bool is_last,
			GError **error)
{
	segment_t segment = {.is_last = is_last};
	bool end = false;
	int ret;

	segment_name(segment.name, number);
	segment.position.file_number = number;
	segment.bytes = g_byte_array_new();
	ret = read_file(journal, segment.name, segment.bytes, error);
	while (!ret && !end)
		ret = load_frame(journal, &segment, &end, error);
	if (!ret && segment.position.offset) {
		journal->segment = number;
		journal->segment_bytes = segment.position.offset;
	}
	g_byte_array_unref(segment.bytes);
	return ret;
}

static gint compare_numbers(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

static int list_segments(ql_journal_t *journal, GArray *numbers, GError **error)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	int ret = journal->disk.ops->list(journal->disk.data, names, error);
	uint64_t number;
	guint i;

	for (i = 0; !ret && i < names->len; i++) {
		const char *name = names->pdata[i];

		if (!g_str_has_prefix(name, SEGMENT_PREFIX))
			continue;
		number = g_ascii_strtoull(name + strlen(SEGMENT_PREFIX), NULL,
					  16);
		g_array_append_val(numbers, number);
	}
	/*
	 * The process before may have ended within a write or a repair, of
	 * which a loss of power could still undo what was not synced.
	 */
	journal->needs_repair = names->len > 0;
	g_array_sort(numbers, compare_numbers);
	g_ptr_array_unref(names);
	return ret;
}

static int load_segments(ql_journal_t *journal, GError **error)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	char name[SEGMENT_NAME_MAX];
	uint64_t number;
	int ret = list_segments(journal, numbers, error);
	guint i;

	for (i = 0; !ret && i < numbers->len; i++) {
		number = g_array_index(numbers, uint64_t, i);
		if (!i)
			journal->first_segment = number;
		segment_name(name, number);
		if (number != journal->first_segment + i)
			ret = corrupt(name, 0, "the preceding file is missing",
				      error);
		else
			ret = load_segment(journal, number,
					   i + 1 == numbers->len, error);
	}
	g_array_unref(numbers);
	return ret;
}

static int load_snapshot(ql_journal_t *journal, GError **error)
{
	GByteArray *bytes = g_byte_array_new();
	ql_frame_position_t position = {.file_number = SNAPSHOT_FILE_NUMBER};
	const guint8 *payload;
	size_t length;
	int ret = read_file(journal, SNAPSHOT_NAME, bytes, error);

	if (!ret &&
	    (!ql_frame_read(&payload, &length, bytes, &position) ||
	     !ql_journal_snapshot_decode(&journal->snapshot, payload, length)))
		ret = corrupt(SNAPSHOT_NAME, 0, "the checksum does not match",
			      error);
	if (ret == QL_E_NOT_FOUND) {
		g_clear_error(error);
		ret = 0;
	}
	g_byte_array_unref(bytes);
	return ret;
}

static bool contains_snapshot_entry(const ql_journal_t *journal)
{
	uint64_t index = journal->snapshot.index;

	if (index == journal->base_index)
		return journal->base_term == journal->snapshot.term;
	if (index > last_index(journal))
		return false;
	return g_array_index(journal->entries, ql_journal_entry_t,
			     index - journal->base_index - 1)
		       .term == journal->snapshot.term;
}

/*
 * Combines the snapshot with the log. A crash may have occurred after the
 * snapshot was stored and before the log was compacted.
 */
static int reconcile_snapshot(ql_journal_t *journal, GError **error)
{
	if (journal->snapshot.index < journal->base_index)
		return corrupt(SNAPSHOT_NAME, 0,
			       "the snapshot is older than the log", error);
	if (!contains_snapshot_entry(journal)) {
		g_array_set_size(journal->entries, 0);
		journal->base_index = journal->snapshot.index;
		journal->base_term = journal->snapshot.term;
		journal->needs_new_segment = true;
	}
	journal->state.commit =
		MAX(journal->state.commit, journal->snapshot.index);
	if (journal->state.commit > last_index(journal))
		return corrupt(SEGMENT_PREFIX, journal->segment_bytes,
			       "committed entries are missing", error);
	return 0;
}

int ql_journal_open(ql_journal_t *journal, const ql_disk_t *disk,
		    GError **error)
{
	GError *cause = NULL;
	int ret;

	init_empty(journal, disk);
	ret = load_snapshot(journal, &cause);
	if (!ret)
		ret = load_segments(journal, &cause);
	if (!ret)
		ret = reconcile_snapshot(journal, &cause);
	if (ret) {
		g_propagate_error(error, cause);
		ql_journal_finish(journal);
	}
	return ret;
}

static int append_frame(ql_journal_t *journal, const ql_journal_frame_t *frame,
			GError **error)
{
	const ql_disk_ops_t *ops = journal->disk.ops;
	ql_frame_position_t position = {journal->segment,
					journal->segment_bytes};
	GByteArray *bytes = g_byte_array_new();
	GByteArray *payload = ql_journal_frame_encode(frame);
	char name[SEGMENT_NAME_MAX];
	int ret;

	segment_name(name, journal->segment);
	ql_frame_append(bytes, &position, payload->data, payload->len);
	ret = ops->append(journal->disk.data, name, bytes->data, bytes->len,
			  error);
	if (!ret)
		ret = ops->sync(journal->disk.data, name, error);
	if (!ret)
		journal->segment_bytes += bytes->len;
	g_byte_array_unref(payload);
	g_byte_array_unref(bytes);
	return ret;
}

/*
 * Starts a new segment, which is on stable storage if this returns 0. After a
 * failure the segment before it remains the last one.
 */
static int start_segment(ql_journal_t *journal, const ql_journal_frame_t *frame,
			 GError **error)
{
	uint64_t bytes_before = journal->segment_bytes;
	int ret;

	journal->segment++;
	journal->segment_bytes = 0;
	ret = append_frame(journal, frame, error);
	if (!ret)
		ret = journal->disk.ops->sync_folder(journal->disk.data, error);
	if (!ret)
		return 0;
	journal->segment--;
	journal->segment_bytes = bytes_before;
	return ret;
}

/* Removes a file if it exists. */
static int remove_file(ql_journal_t *journal, const char *name, GError **error)
{
	GError *cause = NULL;
	int ret = journal->disk.ops->remove(journal->disk.data, name, &cause);

	if (ret == QL_E_NOT_FOUND) {
		g_error_free(cause);
		return 0;
	}
	if (ret)
		g_propagate_error(error, cause);
	return ret;
}

static int truncate_segment(ql_journal_t *journal, GError **error)
{
	const ql_disk_ops_t *ops = journal->disk.ops;
	char name[SEGMENT_NAME_MAX];
	int ret;

	if (!journal->segment)
		return 0;
	segment_name(name, journal->segment);
	ret = ops->truncate(journal->disk.data, name, journal->segment_bytes,
			    error);
	return ret ? ret : ops->sync(journal->disk.data, name, error);
}

/*
 * Removes what a write that did not end has left: bytes behind the last synced
 * frame, a segment after the last one, and a new snapshot. None of it was
 * confirmed.
 */
static int repair(ql_journal_t *journal, GError **error)
{
	char name[SEGMENT_NAME_MAX];
	int ret;

	if (!journal->needs_repair)
		return 0;
	segment_name(name, journal->segment + 1);
	ret = remove_file(journal, name, error);
	if (!ret)
		ret = remove_file(journal, SNAPSHOT_NEW_NAME, error);
	if (!ret)
		ret = truncate_segment(journal, error);
	if (!ret)
		ret = journal->disk.ops->sync_folder(journal->disk.data, error);
	journal->needs_repair = ret != 0;
	return ret;
}

static GArray *borrow_entries(const ql_journal_entry_t *entries, size_t n)
{
	GArray *array = g_array_new(FALSE, FALSE, sizeof(*entries));

	if (n)
		g_array_append_vals(array, entries, (guint)n);
	return array;
}

int ql_journal_write(ql_journal_t *journal, const ql_journal_state_t *state,
		     const ql_journal_entry_t *entries, size_t n_entries,
		     GError **error)
{
	ql_journal_frame_t frame = {
		.restart = !journal->segment || journal->needs_new_segment,
		.base_index = journal->base_index,
		.base_term = journal->base_term,
		.state = *state,
	};
	int ret = repair(journal, error);

	if (ret)
		return ret;
	frame.entries = borrow_entries(entries, n_entries);
	if (frame.restart)
		ret = start_segment(journal, &frame, error);
	else
		ret = append_frame(journal, &frame, error);
	g_array_unref(frame.entries);
	journal->needs_repair = ret != 0;
	if (ret)
		return ret;
	journal->needs_new_segment = false;
	journal->state = *state;
	if (!journal->first_segment)
		journal->first_segment = journal->segment;
	return 0;
}

static int replace_snapshot(ql_journal_t *journal,
			    const ql_journal_snapshot_t *snapshot,
			    GError **error)
{
	const ql_disk_ops_t *ops = journal->disk.ops;
	void *data = journal->disk.data;
	ql_frame_position_t position = {.file_number = SNAPSHOT_FILE_NUMBER};
	GByteArray *bytes = g_byte_array_new();
	GByteArray *payload = ql_journal_snapshot_encode(snapshot);
	int ret;

	ql_frame_append(bytes, &position, payload->data, payload->len);
	ret = ops->append(data, SNAPSHOT_NEW_NAME, bytes->data, bytes->len,
			  error);
	if (!ret)
		ret = ops->sync(data, SNAPSHOT_NEW_NAME, error);
	if (!ret)
		ret = ops->rename(data, SNAPSHOT_NEW_NAME, SNAPSHOT_NAME,
				  error);
	if (!ret)
		ret = ops->sync_folder(data, error);
	g_byte_array_unref(payload);
	g_byte_array_unref(bytes);
	return ret;
}

/* Removes the oldest segment first, so that a crash leaves no gap. */
static int remove_old_segments(ql_journal_t *journal, GError **error)
{
	char name[SEGMENT_NAME_MAX];
	int ret = 0;

	while (journal->first_segment &&
	       journal->first_segment < journal->segment) {
		segment_name(name, journal->first_segment);
		ret = remove_file(journal, name, error);
		if (!ret)
			ret = journal->disk.ops->sync_folder(journal->disk.data,
							     error);
		if (ret)
			return ret;
		journal->first_segment++;
	}
	journal->first_segment = journal->segment;
	return 0;
}

int ql_journal_store_snapshot(ql_journal_t *journal,
			      const ql_journal_state_t *state,
			      const ql_journal_compaction_t *base,
			      GError **error)
{
	ql_journal_frame_t frame = {
		.restart = true,
		.base_index = base->base_index,
		.base_term = base->base_term,
		.state = *state,
	};
	int ret = repair(journal, error);

	if (ret)
		return ret;
	frame.entries = borrow_entries(base->entries, base->n_entries);
	ret = replace_snapshot(journal, &base->snapshot, error);
	if (!ret)
		ret = start_segment(journal, &frame, error);
	if (!ret)
		ret = remove_old_segments(journal, error);
	g_array_unref(frame.entries);
	journal->needs_repair = ret != 0;
	if (ret)
		return ret;
	journal->needs_new_segment = false;
	journal->state = *state;
	journal->base_index = base->base_index;
	journal->base_term = base->base_term;
	return 0;
}
