# Adds the program that writes the samples of messages to the build of any commit:
#   cmake -DCMAKE_PROJECT_INCLUDE=.../writer.cmake -DHAWTHORNDRUM_PLATFORM_ONLY=ON ...
set(MESSAGE_WRITER_FOLDER ${CMAKE_CURRENT_LIST_DIR})

function(add_message_writer)
  add_executable(write_messages ${MESSAGE_WRITER_FOLDER}/writer/write_messages.cpp)
  target_include_directories(write_messages PRIVATE ${MESSAGE_WRITER_FOLDER})
  target_link_libraries(write_messages PRIVATE libhawthorndrum)
endfunction()

cmake_language(DEFER CALL add_message_writer)
