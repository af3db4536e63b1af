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
 * Return: false when @bytes is malformed or has bytes after the value; @value
 * is freed then.
 */
bool ql_replica_decode(xdrproc_t decode, void *value, GBytes *bytes);

/**
 * ql_replica_members_encode() - Encode a list of members as XDR.
 * @members: the members
 *
 * Return: a new reference.
 */
GBytes *ql_replica_members_encode(const ql_rpc_replica_members *members);

/**
 * ql_replica_members_decode() - Decode a list of members.
 * @members: zeroed memory; free it with xdr_free() after success
 * @bytes: the encoded members
 *
 * Return: false when @bytes is malformed.
 */
bool ql_replica_members_decode(ql_rpc_replica_members *members, GBytes *bytes);

/**
 * ql_replica_snapshot_decode() - Decode the content of a snapshot.
 * @snapshot: zeroed memory; free it with xdr_free() after success
 * @bytes: the encoded snapshot
 *
 * Return: false when @bytes is malformed.
 */
bool ql_replica_snapshot_decode(ql_rpc_replica_snapshot *snapshot,
				GBytes *bytes);

G_END_DECLS

#endif
