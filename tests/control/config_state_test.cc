#include "quetzalloft/config_state.h"
#include "control/greeting.h"
#include "control/replica_codec.h"
#include "control/rpc_server.h"
#include "quetzalloft/error.h"

#include "journal_record.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>

namespace
{

const char *DOCUMENT = "{\"site\":\"s\",\"attempts\":5,\"classes\":{},"
		       "\"services\":{},\"routes\":{}}";

std::string test_document(size_t fill_bytes)
{
	return std::string(DOCUMENT, strlen(DOCUMENT) - 1) +
	       ",\"origin\":{\"fill\":\"" + std::string(fill_bytes, 'f') +
	       "\"}}";
}

class ConfigState : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_config_state_init(&state);
	}

	void TearDown() override
	{
		ql_config_state_finish(&state);
	}

	ql_patch_answer_t apply(const char *id, uint64_t base,
				const std::string &text)
	{
		ql_patch_t patch = {};
		ql_patch_answer_t answer;

		strcpy(patch.id, id);
		patch.base_version = base;
		patch.text = text.c_str();
		patch.length = text.size();
		ql_config_state_apply(&state, &patch, &answer);
		return answer;
	}

	ql_config_state_t state;
};

TEST_F(ConfigState, AcceptsPatchOfCurrentVersionOnly)
{
	EXPECT_EQ(0, apply("a", 0, DOCUMENT).status);
	EXPECT_EQ(QL_E_STALE, apply("b", 0, "{\"attempts\":6}").status);
	EXPECT_EQ(1u, state.doc->version);
	EXPECT_EQ(5u, state.doc->attempts);
	EXPECT_EQ(0, apply("c", 1, "{\"attempts\":6}").status);
	EXPECT_EQ(2u, state.doc->version);
}

/*
 * Guards against a refusal that is lost in a snapshot, or sent as an empty
 * answer, because its detail ends inside a letter.
 */
TEST_F(ConfigState, KeepsDetailInUtf8)
{
	for (size_t start = 1; start < 4; start++) {
		SCOPED_TRACE(start);
		std::string id = "refused-" + std::to_string(start);
		std::string service(start, 'x');

		for (int i = 0; i < 300; i++)
			service += "\u20ac";
		ql_patch_answer_t refused = apply(
			id.c_str(), 0,
			"{\"site\":\"s\",\"attempts\":5,\"services\":{},"
			"\"classes\":{\"c\":{\"shed_order\":1}},"
			"\"routes\":{\"r\":{\"path\":\"/\",\"class\":\"c\","
			"\"idempotent\":true,\"deadline_ms\":100,"
			"\"split\":{\"" +
				service + "\":1}}}}");

		EXPECT_NE(0, refused.status);
		EXPECT_LE(sizeof(refused.detail) - 3, strlen(refused.detail));
		EXPECT_TRUE(g_utf8_validate(refused.detail, -1, nullptr));
	}

	json_t *saved = ql_config_state_save(&state);

	EXPECT_EQ(3u, json_array_size(json_object_get(saved, "answers")));
	json_decref(saved);
}

/* Bytes of filling that make a document as large as is allowed. */
size_t largest_fill()
{
	return QL_CONFIG_DOCUMENT_MAX_BYTES - test_document(0).size();
}

TEST_F(ConfigState, RefusesDocumentThatIsTooLargeForAReply)
{
	EXPECT_EQ(0, apply("a", 0, test_document(largest_fill())).status);
	EXPECT_EQ(QL_E_TOO_LARGE,
		  apply("b", 1, test_document(largest_fill() + 1)).status);
	EXPECT_EQ(QL_E_TOO_LARGE, apply("c", 1, "{\"site\":\"st\"}").status);
	EXPECT_EQ(1u, state.doc->version);
	EXPECT_EQ(0, apply("d", 1, "{\"origin\":null}").status);
}

/* Encodes and decodes a lease reply with the document. */
std::string document_in_lease_reply(ql_config_state_t *state)
{
	ql_rpc_lease_res res = {}, received = {};
	ql_config_reply_t reply = {&res.whole_document,
				   &res.document.document_len,
				   &res.document.document_val,
				   &res.changes.changes_len,
				   &res.changes.changes_val};
	std::string document;
	GBytes *bytes;

	res.detail = strdup("");
	ql_config_reply_fill_whole(&reply, state);
	bytes = ql_replica_encode((xdrproc_t)xdr_ql_rpc_lease_res, &res);
	if (ql_replica_decode((xdrproc_t)xdr_ql_rpc_lease_res, &received,
			      bytes)) {
		document.assign(received.document.document_val,
				received.document.document_len);
		xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, &received);
	}
	g_bytes_unref(bytes);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, &res);
	return document;
}

TEST_F(ConfigState, LargestDocumentFitsIntoAReply)
{
	ASSERT_EQ(0, apply("a", 0, test_document(largest_fill())).status);
	EXPECT_TRUE(document_in_lease_reply(&state) ==
		    ql_config_state_text(&state));
}

TEST(LargestPatch, FitsIntoAnEntryAndARecord)
{
	std::string text(QL_RPC_PATCH_MAX, 'x'), id(QL_RPC_KEY_MAX, 'i'),
		address(QL_RPC_ADDRESS_MAX, 'a');
	ql_rpc_replica_patch patch = {};
	ql_rpc_replica_entry entry = {};
	ql_rpc_replica_message message = {};
	ql_rpc_replica_deliver_args args = {};
	gsize length;
	GBytes *payload;

	patch.id = id.data();
	patch.text.text_val = text.data();
	patch.text.text_len = (u_int)text.size();
	payload =
		ql_replica_encode((xdrproc_t)xdr_ql_rpc_replica_patch, &patch);
	entry.payload.payload_val = (char *)g_bytes_get_data(payload, &length);
	entry.payload.payload_len = (u_int)length;
	EXPECT_GE((gsize)QL_REPLICA_PAYLOAD_MAX, length);
	EXPECT_GE((gsize)QL_JOURNAL_PAYLOAD_MAX, length);
	message.entries.entries_len = 1;
	message.entries.entries_val = &entry;
	args.greeting.cluster = args.greeting.node =
		args.greeting.failure_domain = args.address = address.data();
	args.messages.messages_len = 1;
	args.messages.messages_val = &message;
	length = xdr_sizeof((xdrproc_t)xdr_ql_rpc_replica_deliver_args, &args);
	EXPECT_LT((gsize)QL_RPC_PATCH_MAX, length);
	EXPECT_GT((gsize)QL_RPC_RECORD_MAX_BYTES, length);
	g_bytes_unref(payload);
}

TEST_F(ConfigState, AnswersResentPatchAsTheFirstTime)
{
	ql_patch_answer_t refused;

	EXPECT_EQ(1u, apply("a", 0, DOCUMENT).version);
	EXPECT_EQ(0, apply("b", 1, "{\"attempts\":6}").status);
	EXPECT_EQ(0, apply("a", 0, DOCUMENT).status);
	EXPECT_EQ(1u, apply("a", 0, DOCUMENT).version);
	EXPECT_EQ(2u, state.doc->version);
	refused = apply("early", 3, "{\"attempts\":7}");
	EXPECT_EQ(QL_E_STALE, refused.status);
	EXPECT_EQ(0, apply("c", 2, "{\"attempts\":8}").status);
	EXPECT_EQ(QL_E_STALE, apply("early", 3, "{\"attempts\":7}").status);
	EXPECT_EQ(3u, state.doc->version);
}

TEST_F(ConfigState, WholeDocumentGetsRequestedVersion)
{
	std::string second = DOCUMENT;
	ql_config_state_t follower;
	ql_patch_answer_t answer;
	ql_patch_t patch = {};
	const struct {
		const char *id;
		uint64_t base, version;
		int status;
		uint64_t current;
	} puts[] = {
		{"a", 0, 5, 0, 5},	    {"a", 0, 5, 0, 5},
		{"b", 0, 6, QL_E_STALE, 5}, {"c", 5, 5, QL_E_RANGE, 5},
		{"d", 5, 4, QL_E_RANGE, 5}, {"e", 5, 9, 0, 9},
		{"f", 5, 9, QL_E_STALE, 9}, {"a", 0, 5, 0, 9},
	};

	second.replace(second.find("\"attempts\":") + 11, 1, "7");
	for (const auto &put : puts) {
		SCOPED_TRACE(put.id);
		std::string text = put.version < 9 ? DOCUMENT : second;
		strcpy(patch.id, put.id);
		patch.base_version = put.base;
		patch.version = put.version;
		patch.whole = true;
		patch.text = text.c_str();
		patch.length = text.size();
		ql_config_state_apply(&state, &patch, &answer);
		EXPECT_EQ(answer.status, put.status);
		EXPECT_EQ(state.doc->version, put.current);
	}
	ql_config_state_init(&follower);
	for (GList *link = ql_config_state_changes_since(&state, 0); link;
	     link = link->next)
		EXPECT_EQ(0,
			  ql_config_state_apply_changes(
				  &follower, (ql_config_change_t *)link->data,
				  1, nullptr));
	EXPECT_EQ(9u, follower.doc->version);
	EXPECT_EQ(state.doc->digest, follower.doc->digest);
	ql_config_state_finish(&follower);
}

TEST_F(ConfigState, RefusesNewKeepersWithoutPreviousSlots)
{
	std::string members, slots = "[[\"k0\",\"k1\",\"k2\"]]",
			     next = "[[\"k1\",\"k2\",\"k3\"]]";

	for (int i = 0; i < 4; i++)
		members += (i ? ",\"k" : "\"k") + std::to_string(i) +
			   "\":{\"address\":\"127.0.0.1:2400" +
			   std::to_string(i) + "\",\"failure_domain\":\"d" +
			   std::to_string(i) + "\"}";
	EXPECT_EQ(0, apply("a", 0, DOCUMENT).status);
	EXPECT_EQ(0, apply("b", 1,
			   "{\"keepers\":{\"members\":{" + members +
				   "},\"slots\":" + slots + "}}")
			     .status);
	EXPECT_EQ(
		QL_E_CONFLICT,
		apply("c", 2, "{\"keepers\":{\"slots\":" + next + "}}").status);
	EXPECT_EQ(2u, state.doc->version);
	EXPECT_EQ(0, apply("d", 2,
			   "{\"keepers\":{\"slots\":" + next +
				   ",\"previous_slots\":" + slots + "}}")
			     .status);
}

TEST_F(ConfigState, RefusesSameIdForAnotherPatch)
{
	EXPECT_EQ(0, apply("a", 0, DOCUMENT).status);
	EXPECT_EQ(QL_E_CONFLICT, apply("a", 0, "{}").status);
	EXPECT_EQ(QL_E_CONFLICT, apply("a", 1, DOCUMENT).status);
}

TEST_F(ConfigState, RefusesInvalidDocument)
{
	EXPECT_EQ(0, apply("a", 0, DOCUMENT).status);
	EXPECT_EQ(QL_E_RANGE, apply("b", 1, "{\"attempts\":0}").status);
	EXPECT_EQ(QL_E_INVALID, apply("c", 1, "{").status);
	EXPECT_EQ(1u, state.doc->version);
}

TEST_F(ConfigState, AppliesChangesOfAnotherState)
{
	ql_config_state_t follower;
	GList *link;

	apply("a", 0, DOCUMENT);
	apply("b", 1, "{\"attempts\":6}");
	ql_config_state_init(&follower);
	for (link = ql_config_state_changes_since(&state, 0); link;
	     link = link->next)
		ASSERT_EQ(0,
			  ql_config_state_apply_changes(
				  &follower, (ql_config_change_t *)link->data,
				  1, nullptr));
	EXPECT_EQ(2u, follower.doc->version);
	EXPECT_EQ(state.doc->digest, follower.doc->digest);
	ql_config_state_finish(&follower);
}

TEST_F(ConfigState, IgnoresOlderDocument)
{
	std::string text = DOCUMENT;

	apply("a", 0, DOCUMENT);
	apply("b", 1, "{\"attempts\":6}");
	EXPECT_EQ(0, ql_config_state_replace_document(&state, 1, text.c_str(),
						      text.size(), nullptr));
	EXPECT_EQ(2u, state.doc->version);
	EXPECT_EQ(6u, state.doc->attempts);
}

TEST_F(ConfigState, RestoresSavedState)
{
	json_t *saved;

	apply("a", 0, DOCUMENT);
	apply("b", 1, "{\"attempts\":6}");
	saved = ql_config_state_save(&state);
	ql_config_state_finish(&state);
	ql_config_state_init(&state);
	ASSERT_EQ(0, ql_config_state_load(&state, saved, nullptr));
	json_decref(saved);
	EXPECT_EQ(2u, state.doc->version);
	EXPECT_EQ(1u, apply("a", 0, DOCUMENT).version);
	EXPECT_NE(nullptr, ql_config_state_changes_since(&state, 1));
}

struct CatchUpCase {
	const char *description;
	uint64_t missed;
	/* Bytes of the document and of each change, about. */
	size_t document_bytes;
	size_t change_bytes;
	bool is_whole;
};

/*
 * Guards against a node that lags behind and gets, parses and compiles a whole
 * document for each version that it missed.
 */
TEST_F(ConfigState, CatchingUpCostsNoMoreThanOneDocument)
{
	const CatchUpCase cases[] = {
		{"one small change", 1, 10000, 10, false},
		{"one large change", 1, 10000, 9000, false},
		{"many small changes", 50, 10000, 10, false},
		{"three large changes", 3, 10000, 9000, true},
		{"many large changes", 100, 10000, 9000, true},
		{"one change that is too large to send", 1, 1 << 21, 1 << 20,
		 true},
	};

	for (const CatchUpCase &test : cases) {
		SCOPED_TRACE(test.description);
		bool_t whole = FALSE;
		u_int document_len = 0, changes_len = 0;
		char *document = nullptr;
		ql_rpc_change *changes = nullptr;
		ql_config_reply_t reply = {&whole, &document_len, &document,
					   &changes_len, &changes};
		ql_config_state_t follower;
		size_t sent = 0;

		ql_config_state_finish(&state);
		ql_config_state_init(&state);
		ql_config_state_init(&follower);
		ASSERT_EQ(0, apply("first", 0, DOCUMENT).status);
		ASSERT_EQ(0,
			  apply("fill", 1,
				"{\"origin\":{\"fill\":\"" +
					std::string(test.document_bytes, 'f') +
					"\"}}")
				  .status);
		for (uint64_t i = 0; i < test.missed; i++)
			ASSERT_EQ(0,
				  apply(std::to_string(i).c_str(), i + 2,
					"{\"origin\":{\"v\":\"" +
						std::to_string(i) +
						std::string(test.change_bytes,
							    'c') +
						"\"}}")
					  .status);
		ASSERT_EQ(0, ql_config_state_replace_document(
				     &follower, 2,
				     test_document(test.document_bytes).c_str(),
				     test_document(test.document_bytes).size(),
				     nullptr));
		ql_config_reply_fill(&reply, &state, 2);
		EXPECT_EQ(test.is_whole, (bool)whole);
		for (u_int i = 0; i < changes_len; i++)
			sent += changes[i].patch.patch_len;
		EXPECT_LE(document_len + sent,
			  strlen(ql_config_state_text(&state)));
		EXPECT_EQ(0,
			  ql_config_reply_apply(&follower, &reply,
						state.doc->version, nullptr));
		EXPECT_EQ(state.doc->version, follower.doc->version);
		EXPECT_EQ(state.doc->digest, follower.doc->digest);
		for (u_int i = 0; i < changes_len; i++)
			free(changes[i].patch.patch_val);
		free(changes);
		free(document);
		ql_config_state_finish(&follower);
	}
}

/* Changes that do not follow each other leave the state as it was. */
TEST_F(ConfigState, AppliesAllChangesOrNone)
{
	ql_config_state_t follower;
	ql_config_change_t changes[2];

	apply("a", 0, DOCUMENT);
	apply("b", 1, "{\"attempts\":6}");
	apply("c", 2, "{\"attempts\":7}");
	changes[0] = *(ql_config_change_t *)g_queue_peek_nth(&state.changes, 0);
	changes[1] = *(ql_config_change_t *)g_queue_peek_nth(&state.changes, 2);
	ql_config_state_init(&follower);
	EXPECT_EQ(QL_E_NOT_FOUND,
		  ql_config_state_apply_changes(&follower, changes, 2,
						nullptr));
	EXPECT_EQ(0u, follower.doc->version);
	changes[1] = *(ql_config_change_t *)g_queue_peek_nth(&state.changes, 1);
	changes[1].digest++;
	EXPECT_EQ(QL_E_CORRUPT,
		  ql_config_state_apply_changes(&follower, changes, 2,
						nullptr));
	EXPECT_EQ(0u, follower.doc->version);
	changes[1].digest--;
	EXPECT_EQ(0, ql_config_state_apply_changes(&follower, changes, 2,
						   nullptr));
	EXPECT_EQ(state.doc->version - 1, follower.doc->version);
	ql_config_state_finish(&follower);
}

} // namespace
