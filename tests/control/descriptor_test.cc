#include "control/rpc_server.h"
#include "quetzalloft/address.h"
#include "store/disk.h"
#include "support/own_address.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cstdlib>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

constexpr int kRounds = 300;
constexpr unsigned int kPort = 27982;

/*
 * The disk thread of a replica opens files while its RPC thread closes
 * connections, so that both use the same file descriptors one after the other.
 * The thread sanitizer must see that the connection is closed before the file
 * gets its descriptor.
 */
TEST(Descriptors, AreReusedByTheDisk)
{
	char folder[] = "/tmp/descriptors-XXXXXX";
	ql_rpc_server_t server = {};
	ql_folder_disk_t disk = {};
	std::string address = own_address(kPort);
	sockaddr_in server_address = {};
	char byte;

	ASSERT_NE(nullptr, mkdtemp(folder));
	ASSERT_EQ(0, ql_folder_disk_init(&disk, folder, nullptr));
	ASSERT_EQ(0, ql_rpc_server_start(&server, address.c_str(), nullptr));
	ASSERT_EQ(0,
		  ql_address_parse(&server_address, address.c_str(), nullptr));
	for (int i = 0; i < kRounds; i++) {
		std::string name = "file-" + std::to_string(i % 2);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		ASSERT_EQ(0, connect(fd, (sockaddr *)&server_address,
				     sizeof(server_address)));
		/* The server closes the connection, as this is not a call. */
		ASSERT_EQ(8, send(fd, "\x80\0\0\x04junk", 8, 0));
		ASSERT_EQ(0, recv(fd, &byte, 1, 0));
		/* The file gets the lowest free descriptor, just closed. */
		ASSERT_EQ(0, ql_folder_disk_ops.append(&disk, name.c_str(), "x",
						       1, nullptr));
		close(fd);
	}
	ql_rpc_server_stop(&server);
	ql_folder_disk_finish(&disk);
	for (int i = 0; i < 2; i++)
		unlink((std::string(folder) + "/file-" + std::to_string(i))
			       .c_str());
	rmdir(folder);
}

} // namespace
