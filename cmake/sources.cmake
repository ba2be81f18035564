# Every .cpp and .cc of a folder belongs to that folder's target: one class a file, no lists to keep.
function(radishswitch_sources variable folder)
    file(GLOB found CONFIGURE_DEPENDS ${folder}/*.cpp ${folder}/*.cc)
    set(${variable} ${found} PARENT_SCOPE)
endfunction()

# The same of a folder whose files are grouped in folders.
function(radishswitch_grouped_sources variable folder)
    file(GLOB found CONFIGURE_DEPENDS ${folder}/*.cpp ${folder}/*/*.cpp)
    set(${variable} ${found} PARENT_SCOPE)
endfunction()
