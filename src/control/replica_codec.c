#include "control/replica_codec.h"

GBytes *ql_replica_encode(xdrproc_t encode, const void *value)
{
	u_int length = (u_int)xdr_sizeof(encode, (void *)value);
	char *bytes = g_malloc(length);
	XDR xdr;

	xdrmem_create(&xdr, bytes, length, XDR_ENCODE);
	if (!encode(&xdr, (void *)value))
		g_assert_not_reached();
	xdr_destroy(&xdr);
	return g_bytes_new_take(bytes, length);
}

bool ql_replica_decode(xdrproc_t decode, void *value, GBytes *bytes)
{
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);
	bool ok;
	XDR xdr;

	xdrmem_create(&xdr, (char *)data, (u_int)length, XDR_DECODE);
	ok = decode(&xdr, value) && xdr_getpos(&xdr) == length;
	xdr_destroy(&xdr);
	if (!ok)
		xdr_free(decode, value);
	return ok;
}

GBytes *ql_replica_members_encode(const ql_rpc_replica_members *members)
{
	return ql_replica_encode((xdrproc_t)xdr_ql_rpc_replica_members,
				 members);
}

bool ql_replica_members_decode(ql_rpc_replica_members *members, GBytes *bytes)
{
	return ql_replica_decode((xdrproc_t)xdr_ql_rpc_replica_members, members,
				 bytes);
}

bool ql_replica_snapshot_decode(ql_rpc_replica_snapshot *snapshot,
				GBytes *bytes)
{
	return ql_replica_decode((xdrproc_t)xdr_ql_rpc_replica_snapshot,
				 snapshot, bytes);
}
