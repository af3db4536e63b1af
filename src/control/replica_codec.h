#ifndef QL_CONTROL_REPLICA_CODEC_H
#define QL_CONTROL_REPLICA_CODEC_H

/**
 * DOC: The payloads of a replica's entries and snapshots, as XDR.
 */

#include "quetzalloft/replica.h"

G_BEGIN_DECLS

/**
 * ql_replica_encode() - Write a value as XDR.
 * @encode: its XDR routine
 * @value: the value
 *
 * Return: a new reference.
 */
GBytes *ql_replica_encode(xdrproc_t encode, const void *value);

/**
 * ql_replica_decode() - Read a value.
 * @decode: its XDR routine
 * @value: zeros; freed with xdr_free() after success
 * @bytes: what to read
 *
 * Return: whether all of @bytes is one well-formed value.
 */
bool ql_replica_decode(xdrproc_t decode, void *value, GBytes *bytes);

GBytes *ql_replica_members_encode(const ql_rpc_replica_members *members);
bool ql_replica_members_decode(ql_rpc_replica_members *members, GBytes *bytes);
bool ql_replica_snapshot_decode(ql_rpc_replica_snapshot *snapshot,
				GBytes *bytes);

G_END_DECLS

#endif
