#include "policy/document_internal.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define RETENTION_DEFAULT_MS 600000
#define RETENTION_MIN_MS 60000
#define RETENTION_MAX_MS 86400000

typedef struct {
	uint64_t retention_ms;
	json_t *members;
	json_t *slots;
	json_t *previous_slots;
} keepers_source_t;

static const ql_json_member_t keepers_members[] = {
	QL_MEMBER_UINT(keepers_source_t, retention_ms, false, RETENTION_MIN_MS,
		       RETENTION_MAX_MS),
	QL_MEMBER_OBJECT(keepers_source_t, members, true),
	QL_MEMBER_ARRAY(keepers_source_t, slots, true),
	QL_MEMBER_ARRAY(keepers_source_t, previous_slots, false),
};

static const ql_json_member_t member_members[] = {
	QL_MEMBER_STRING(ql_keeper_member_t, address, true, 1),
	QL_MEMBER_STRING(ql_keeper_member_t, failure_domain, true, 1),
};

static int compile_member(ql_keeper_member_t *member, const char *name,
			  json_t *value, GError **error)
{
	struct sockaddr_in address;
	GError *detail = NULL;
	char path[JSON_PATH_MAX_BYTES];
	int ret;

	ret = ql_document__check_name("keepers.members", name, error);
	if (ret)
		return ret;
	g_strlcpy(member->name, name, sizeof(member->name));
	snprintf(path, sizeof(path), "keepers.members.%s", name);
	ret = ql_json_read(member, value, path, member_members,
			   G_N_ELEMENTS(member_members), error);
	if (ret)
		return ret;
	ret = ql_address_parse(&address, member->address, &detail);
	if (ret)
		ql_error_set(error, (ql_error_code_t)ret, "%s.address: %s",
			     path, detail->message);
	g_clear_error(&detail);
	return ret;
}

static int compile_members(ql_keepers_t *keepers, json_t *source,
			   GError **error)
{
	const char *name;
	json_t *value;
	int ret;

	ret = ql_document__check_count("keepers.members",
				       json_object_size(source),
				       QL_KEEPER_MEMBERS_MAX, error);
	if (ret)
		return ret;
	keepers->members = g_new0(ql_keeper_member_t, json_object_size(source));
	json_object_foreach (source, name, value) {
		ret = compile_member(&keepers->members[keepers->n_members++],
				     name, value, error);
		if (ret)
			return ret;
	}
	return 0;
}

static int find_member(const ql_keepers_t *keepers, const char *name)
{
	size_t i;

	for (i = 0; name && i < keepers->n_members; i++)
		if (!strcmp(keepers->members[i].name, name))
			return (int)i;
	return -1;
}

/*
 * Refuses a keeper that the slot already has, and one in the failure domain of
 * another keeper of the slot: one outage would take down both.
 */
static int check_failure_domain(const ql_keepers_t *keepers,
				const ql_keeper_slot_t *slot, int index,
				const char *path, GError **error)
{
	const ql_keeper_member_t *member = &keepers->members[index];
	const ql_keeper_member_t *other;
	uint16_t i;

	for (i = 0; i < slot->n_members; i++) {
		other = &keepers->members[slot->members[i]];
		if (other == member)
			return ql_error_set(error, QL_E_EXISTS,
					    "%s: found \"%s\" twice", path,
					    member->name);
		if (!strcmp(other->failure_domain, member->failure_domain))
			return ql_error_set(
				error, QL_E_CONFLICT,
				"%s: found \"%s\" and \"%s\" in one failure "
				"domain, allowed different ones",
				path, other->name, member->name);
	}
	return 0;
}

static int compile_slot(const ql_keepers_t *keepers, ql_keeper_slot_t *slot,
			json_t *source, const char *path, GError **error)
{
	const char *name;
	json_t *value;
	size_t i;
	int index, ret;

	if (json_array_size(source) != 3 && json_array_size(source) != 5)
		return ql_error_set(error, QL_E_RANGE,
				    "%s: found %zu keepers, allowed an array "
				    "of 3 or 5",
				    path, json_array_size(source));
	json_array_foreach (source, i, value) {
		name = json_string_value(value);
		index = find_member(keepers, name);
		if (index < 0)
			return ql_error_set(error, QL_E_NOT_FOUND,
					    "%s[%zu]: found \"%s\", which is "
					    "not in keepers.members",
					    path, i, name ? name : "no string");
		ret = check_failure_domain(keepers, slot, index, path, error);
		if (ret)
			return ret;
		slot->members[slot->n_members++] = (uint16_t)index;
	}
	return 0;
}

static int compile_table(const ql_keepers_t *keepers, ql_keeper_table_t *table,
			 json_t *source, const char *name, GError **error)
{
	char path[JSON_PATH_MAX_BYTES];
	json_t *value;
	size_t i;
	int ret;

	ret = ql_document__check_count(name, json_array_size(source),
				       QL_KEEPER_SLOTS_MAX, error);
	if (ret)
		return ret;
	if (!json_array_size(source))
		return ql_error_set(error, QL_E_RANGE,
				    "%s: found no slot, allowed 1 to %d", name,
				    QL_KEEPER_SLOTS_MAX);
	table->slots = g_new0(ql_keeper_slot_t, json_array_size(source));
	json_array_foreach (source, i, value) {
		snprintf(path, sizeof(path), "%s[%zu]", name, i);
		ret = compile_slot(keepers, &table->slots[table->n_slots++],
				   value, path, error);
		if (ret)
			return ret;
	}
	return 0;
}

int ql_keepers__compile(ql_keepers_t *keepers, json_t *json, GError **error)
{
	keepers_source_t source = {.retention_ms = RETENTION_DEFAULT_MS};
	int ret;

	ret = ql_json_read(&source, json, "keepers", keepers_members,
			   G_N_ELEMENTS(keepers_members), error);
	if (ret)
		return ret;
	keepers->retention_ms = source.retention_ms;
	ret = compile_members(keepers, source.members, error);
	if (!ret)
		ret = compile_table(keepers, &keepers->slots, source.slots,
				    "keepers.slots", error);
	if (!ret && source.previous_slots)
		ret = compile_table(keepers, &keepers->previous_slots,
				    source.previous_slots,
				    "keepers.previous_slots", error);
	return ret;
}

void ql_keepers__finish(ql_keepers_t *keepers)
{
	g_free(keepers->members);
	g_free(keepers->slots.slots);
	g_free(keepers->previous_slots.slots);
}

static uint32_t add_member(ql_key_keepers_t *out, uint16_t member)
{
	uint32_t i;

	for (i = 0; i < out->n_members; i++)
		if (out->members[i] == member)
			return 1u << i;
	out->members[out->n_members++] = member;
	return 1u << i;
}

static void add_set(const ql_keeper_table_t *table, uint64_t hash,
		    ql_key_keepers_t *out)
{
	const ql_keeper_slot_t *slot;
	uint32_t set = 0;
	uint16_t i;

	if (!table->n_slots)
		return;
	slot = &table->slots[hash % table->n_slots];
	for (i = 0; i < slot->n_members; i++)
		set |= add_member(out, slot->members[i]);
	if (out->n_sets && out->sets[0] == set)
		return;
	out->sets[out->n_sets++] = set;
}

void ql_document_find_keepers(const ql_document_t *doc, const char *key,
			      ql_key_keepers_t *out)
{
	uint64_t hash = XXH3_64bits(key, strlen(key));

	memset(out, 0, sizeof(*out));
	add_set(&doc->keepers.slots, hash, out);
	add_set(&doc->keepers.previous_slots, hash, out);
}

static bool same_member(const ql_keeper_member_t *a,
			const ql_keeper_member_t *b)
{
	return !strcmp(a->name, b->name) && !strcmp(a->address, b->address);
}

static bool same_slot(const ql_document_t *a, const ql_keeper_slot_t *slot_a,
		      const ql_document_t *b, const ql_keeper_slot_t *slot_b)
{
	uint16_t i;

	if (slot_a->n_members != slot_b->n_members)
		return false;
	for (i = 0; i < slot_a->n_members; i++)
		if (!same_member(&a->keepers.members[slot_a->members[i]],
				 &b->keepers.members[slot_b->members[i]]))
			return false;
	return true;
}

static bool same_table(const ql_document_t *a, const ql_keeper_table_t *table_a,
		       const ql_document_t *b, const ql_keeper_table_t *table_b)
{
	size_t i;

	if (table_a->n_slots != table_b->n_slots)
		return false;
	for (i = 0; i < table_a->n_slots; i++)
		if (!same_slot(a, &table_a->slots[i], b, &table_b->slots[i]))
			return false;
	return true;
}

int ql_document_check_keepers(const ql_document_t *old,
			      const ql_document_t *doc, GError **error)
{
	const ql_keepers_t *before = &old->keepers;
	const ql_keepers_t *after = &doc->keepers;

	if (!before->slots.n_slots ||
	    same_table(old, &before->slots, doc, &after->slots))
		return 0;
	if (before->previous_slots.n_slots)
		return ql_error_set(error, QL_E_CONFLICT,
				    "keepers.slots: found a change while the "
				    "previous slots are in force, allowed "
				    "after they were removed");
	if (!same_table(old, &before->slots, doc, &after->previous_slots))
		return ql_error_set(error, QL_E_CONFLICT,
				    "keepers.previous_slots: found other slots "
				    "than those in force, allowed the slots "
				    "in force when keepers.slots changes");
	return 0;
}
