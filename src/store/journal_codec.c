#include "store/journal_codec.h"

#include "journal_record.h"

#include <rpc/xdr.h>
#include <stdlib.h>
#include <string.h>

static GByteArray *encode(xdrproc_t encode_value, void *value)
{
	GByteArray *out = g_byte_array_new();
	XDR xdr;

	g_byte_array_set_size(out, (guint)xdr_sizeof(encode_value, value));
	xdrmem_create(&xdr, (char *)out->data, out->len, XDR_ENCODE);
	if (!encode_value(&xdr, value))
		g_assert_not_reached();
	xdr_destroy(&xdr);
	return out;
}

static bool decode(xdrproc_t decode_value, void *value, const void *bytes,
		   size_t length)
{
	XDR xdr;
	bool ok;

	xdrmem_create(&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
	ok = decode_value(&xdr, value) && xdr_getpos(&xdr) == length;
	xdr_destroy(&xdr);
	if (!ok)
		xdr_free(decode_value, value);
	return ok;
}

static ql_rpc_journal_entry borrow_entry(const ql_journal_entry_t *entry)
{
	ql_rpc_journal_entry out = {
		.index = entry->index,
		.term = entry->term,
		.kind = entry->kind,
	};
	gsize length;

	out.payload.payload_val =
		(char *)g_bytes_get_data(entry->payload, &length);
	out.payload.payload_len = (u_int)length;
	return out;
}

GByteArray *ql_journal_frame_encode(const ql_journal_frame_t *frame)
{
	ql_rpc_journal_frame out = {
		.restart = frame->restart,
		.base_index = frame->base_index,
		.base_term = frame->base_term,
		.state = {frame->state.identity, frame->state.term,
			  frame->state.vote, frame->state.commit},
	};
	GByteArray *bytes;
	guint i;

	out.entries.entries_len = frame->entries->len;
	out.entries.entries_val =
		g_new0(ql_rpc_journal_entry, frame->entries->len);
	for (i = 0; i < frame->entries->len; i++)
		out.entries.entries_val[i] = borrow_entry(
			&g_array_index(frame->entries, ql_journal_entry_t, i));
	bytes = encode((xdrproc_t)xdr_ql_rpc_journal_frame, &out);
	g_free(out.entries.entries_val);
	return bytes;
}

static void clear_entry(void *data)
{
	ql_journal_entry_t *entry = data;

	g_bytes_unref(entry->payload);
}

static void copy_entries(ql_journal_frame_t *frame,
			 const ql_rpc_journal_frame *in)
{
	ql_journal_entry_t entry;
	u_int i;

	frame->entries = g_array_new(FALSE, FALSE, sizeof(ql_journal_entry_t));
	g_array_set_clear_func(frame->entries, clear_entry);
	for (i = 0; i < in->entries.entries_len; i++) {
		const ql_rpc_journal_entry *from = &in->entries.entries_val[i];

		entry.index = from->index;
		entry.term = from->term;
		entry.kind = from->kind;
		entry.payload = g_bytes_new(from->payload.payload_val,
					    from->payload.payload_len);
		g_array_append_val(frame->entries, entry);
	}
}

bool ql_journal_frame_decode(ql_journal_frame_t *frame, const void *bytes,
			     size_t length)
{
	ql_rpc_journal_frame in = {0};

	if (!decode((xdrproc_t)xdr_ql_rpc_journal_frame, &in, bytes, length))
		return false;
	frame->restart = in.restart;
	frame->base_index = in.base_index;
	frame->base_term = in.base_term;
	frame->state.identity = in.state.identity;
	frame->state.term = in.state.term;
	frame->state.vote = in.state.vote;
	frame->state.commit = in.state.commit;
	copy_entries(frame, &in);
	xdr_free((xdrproc_t)xdr_ql_rpc_journal_frame, &in);
	return true;
}

void ql_journal_frame_finish(ql_journal_frame_t *frame)
{
	g_array_unref(frame->entries);
}

GByteArray *ql_journal_snapshot_encode(const ql_journal_snapshot_t *snapshot)
{
	ql_rpc_journal_snapshot out = {
		.index = snapshot->index,
		.term = snapshot->term,
	};
	gsize length;

	out.data.data_val = (char *)g_bytes_get_data(snapshot->data, &length);
	out.data.data_len = (u_int)length;
	return encode((xdrproc_t)xdr_ql_rpc_journal_snapshot, &out);
}

bool ql_journal_snapshot_decode(ql_journal_snapshot_t *snapshot,
				const void *bytes, size_t length)
{
	ql_rpc_journal_snapshot in = {0};

	if (!decode((xdrproc_t)xdr_ql_rpc_journal_snapshot, &in, bytes, length))
		return false;
	snapshot->index = in.index;
	snapshot->term = in.term;
	snapshot->data =
		g_bytes_new_with_free_func(in.data.data_val, in.data.data_len,
					   free, in.data.data_val);
	return true;
}
