#ifndef QL_CONTROL_REPLICA_CODEC_H
#define QL_CONTROL_REPLICA_CODEC_H

/**
 * DOC: XDR encoding of the payloads of log entries and snapshots.
 */

#include "quetzalloft/replica.h"

G_BEGIN_DECLS

/**
 * ql_replica_encode() - Encode a value as XDR.
 * @encode: XDR routine of the type
 * @value: the value
 *
 * Return: a new reference.
 */
GBytes *ql_replica_encode(xdrproc_t encode, const void *value);

/**
 * ql_replica_decode() - Decode a value from XDR.
 * @decode: XDR routine of the type
 * @value: zeroed memory for the value; free it with xdr_free() after success
 * @bytes: the encoded value
 *
 * Return: false when @bytes is malformed or longer than the value.
 */
bool ql_replica_decode(xdrproc_t decode, void *value, GBytes *bytes);

GBytes *ql_replica_members_encode(const ql_rpc_replica_members *members);
bool ql_replica_members_decode(ql_rpc_replica_members *members, GBytes *bytes);
bool ql_replica_snapshot_decode(ql_rpc_replica_snapshot *snapshot,
				GBytes *bytes);

G_END_DECLS

#endif
